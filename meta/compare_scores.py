"""Prints a table of the two newest scores of each site that journal/ has, day by day.

Arguments: names of sites. Ends with 1 if a gate was shut or a rule broken in the newest score of a site.
"""

import glob
import json
import sys


def read_scores(site):
    """Returns the journal entries of scores of a site, the newest first."""
    entries = []
    for name in glob.glob("journal/*.json"):
        with open(name, encoding="utf-8") as file:
            entry = json.load(file)
        if entry.get("cmd") == "score" and entry.get("site") == site:
            entries.append(entry)
    return sorted(entries, key=lambda entry: entry["at"][0], reverse=True)


def is_passed(day):
    return bool(day["gate"]) and not day["rules"] and not day["fault"]


def main():
    failed = False
    print(f"{'site':28} {'day':12} {'worth before':>12} {'worth now':>10} {'score now':>10}  rules and gate")
    for site in sys.argv[1:]:
        scores = read_scores(site)
        if not scores:
            print(f"{site:28} no score in the journal")
            failed = True
            continue
        before = {day["name"]: day for day in scores[1]["days"]} if len(scores) > 1 else {}
        for day in scores[0]["days"]:
            earlier = before.get(day["name"])
            worth_before = f"{earlier['G']:.3f}" if earlier else "-"
            score = f"{day['score']:.3f}" if day["score"] is not None else "-"
            state = "kept, gate passed" if is_passed(day) else f"FAILED {day['rules']} {day['fault'] or ''}"
            failed = failed or not is_passed(day)
            print(f"{site:28} {day['name']:12} {worth_before:>12} {day['G']:>10.3f} {score:>10}  {state}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
