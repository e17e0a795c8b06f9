/*
 * One database group: takeover, replication, acknowledgement gate, keys, tokens and fresh reads
 * (docs/design.md, section 4). specifications/README.md maps each step to its rule and lists the bounds.
 *
 * Homes, connections and callers keep no state here. A home may act on any term that was ever promoted, at any time,
 * so late, repeated, reordered and lost messages, several homes at once and primaries that do not know that they were
 * replaced are all included. A report "database d holds position q in term t" stays true for the home that received
 * it, so the gate opens as soon as it may; a property is checked against everything that could have been reported.
 *
 * Defines: PROPERTY (one of the names below), TERMS (2 to 4), RACERS (1 or 2 takeovers compete for one term), KEYS and
 * WRITES (0: leaves out the keyed write or the one without a key), and at most one seeded mistake.
 */
#define LOST 1        /* what the gate released is part of every later history */
#define REPLACED 2    /* nothing executed by a primary after its replacement is released */
#define ONCE 3        /* a key is executed at most once in a history, and not beside its cancellation */
#define NOT_RUN 4     /* after "not run" the write is in no later history and is never released */
#define TOKEN 5       /* a read with a token contains the write that gave the token */
#define PREFIX 6      /* a replica reports a prefix of the history of the request's term */
#define FRESH 7       /* a confirmed read contains every write acknowledged before it arrived */
#define ONE_PRIMARY 8 /* a term has one primary */

#ifndef PROPERTY
#define PROPERTY LOST
#endif
#ifndef TERMS
#define TERMS 4
#endif
#ifndef RACERS
#define RACERS 1
#endif
#ifndef KEYS
#define KEYS 1
#endif
#ifndef WRITES
#define WRITES 1
#endif

/* A log holds one start entry per term, the write without a key once, and the keyed write or its cancellation. */
#define LENGTH (TERMS + 2)

#define START 1
#define WRITE 2       /* write without a key */
#define KEYED 3       /* write with the key */
#define CANCELLED 4   /* cancellation entry of the key */
#define LATE 64       /* executed after a majority had granted a later term */

#define kind_of(entry) ((entry) & 7)
#define term_of(entry) (((entry) >> 3) & 7)

/* history: the log of the primary of each term, positions from 1; it only grows. By log matching (asserted through
   ONE_PRIMARY) a log is identified by its last entry, so a database's log is (last_term, last_position). */
byte history[(TERMS + 1) * (LENGTH + 1)];
#define entry_at(t, p) history[(t) * (LENGTH + 1) + (p)]
byte length[TERMS + 1];     /* 0 while the term has no primary */
byte primary_of[TERMS + 1];

byte term[3];               /* greatest term granted or seen */
byte proposer[3];           /* takeover that the term was granted to, plus 1; 0 once the term has a primary */
byte last_term[3];
byte last_position[3];

byte held[(TERMS + 1) * 3]; /* greatest position that a home of the term counts as held by the database */
#define held_by(t, d) held[(t) * 3 + (d)]
#define smaller(a, b) ((a) < (b) -> (a) : (b))
#define greater(a, b) ((a) > (b) -> (a) : (b))
#define greatest_held(t) greater(held_by(t, 0), greater(held_by(t, 1), held_by(t, 2)))
#define majority_held(t) greater(smaller(held_by(t, 0), held_by(t, 1)), \
                                 smaller(held_by(t, 2), greater(held_by(t, 0), held_by(t, 1))))
/* The gate: the greatest position that answers of the term may be released for. */
#ifdef ACKNOWLEDGE_BEFORE_MAJORITY
#define released(t) greatest_held(t)
#else
#define released(t) majority_held(t)
#endif

#define replaced(t) ((term[0] > (t)) + (term[1] > (t)) + (term[2] > (t)) >= 2)

/* Takeovers: one slot for each term and racer. */
byte granters[(TERMS + 1) * RACERS]; /* bit per database whose grant arrived */
byte best[(TERMS + 1) * RACERS];     /* most advanced granter and its last entry */
byte best_term[(TERMS + 1) * RACERS];
byte best_position[(TERMS + 1) * RACERS];
#define slot(t, r) ((t) * RACERS + (r))

bool write_sent;  /* a request without a key is executed at most once and never repeated */
byte told_term;   /* term in which a mistake told "not run" without the gate */

#if PROPERTY == FRESH
byte read_term;      /* 0: no read waits */
byte read_expected;  /* writes acknowledged when it arrived: 1 WRITE, 2 KEYED */
byte read_confirmed; /* bit per database that confirmed the term after the arrival */
byte read_position;  /* 0: not yet executed by the primary */
#endif

/* Options of a choice, one for each term and database. */
#if TERMS == 2
#define for_terms(option) option(1) option(2)
#define for_later_terms(option) option(2)
#elif TERMS == 3
#define for_terms(option) option(1) option(2) option(3)
#define for_later_terms(option) option(2) option(3)
#else
#define for_terms(option) option(1) option(2) option(3) option(4)
#define for_later_terms(option) option(2) option(3) option(4)
#endif
#define for_databases(option, t) option(0, t) option(1, t) option(2, t)

/* p = position of an entry of this kind among the first `limit` entries of the term's history, 0 if there is none.
   p and limit must be different variables. */
inline find(t, limit, wanted, p) {
    p = 1;
    do
    :: p <= limit && kind_of(entry_at(t, p)) != wanted -> p++
    :: else -> break
    od;
    if :: p > limit -> p = 0 :: else fi
}

/* Counts what the database's present status answer reports. */
inline report_status(d) {
    if
#ifdef HOLD_IGNORES_DATABASE_TERM
    :: last_position[d] > held_by(last_term[d], d) ->
#else
    :: last_term[d] == term[d] && last_position[d] > held_by(last_term[d], d) ->
#endif
        held_by(last_term[d], d) = last_position[d]
    :: else
    fi
}

inline append(t, kind) {
    length[t]++;
    entry_at(t, length[t]) = kind + 8 * t + (kind != START && replaced(t) -> LATE : 0);
    last_term[primary_of[t]] = t;
    last_position[primary_of[t]] = length[t];
    report_status(primary_of[t])
}

#define accepts_requests(t) (length[t] > 0 && term[primary_of[t]] == t)

inline clear_takeover(k) {
    granters[k] = 0;
    best[k] = 0;
    best_term[k] = 0;
    best_position[k] = 0
}

/* A takeover of the past is dropped when every database is in a later term; it can have no effect. */
inline drop_dead_takeovers() {
    i = 2;
    do
    :: i <= TERMS ->
        if
        :: term[0] > i && term[1] > i && term[2] > i ->
            clear_takeover(slot(i, 0));
#if RACERS > 1
            clear_takeover(slot(i, 1));
#endif
        :: else
        fi;
        i++
    :: else -> break
    od
}

/* The database's rule: a greater term, or the same term for the same takeover. A takeover whose term has a primary has
   ended; only a mistake raises that term again. */
#if defined(GRANT_TWICE)
#define may_raise(d, t, k) (term[d] <= (t))
#define same_proposer(d, k) (proposer[d] == (k) + 1)
#elif defined(PROPOSER_REUSED)
/* Both takeovers of a term, or two runs of one daemon, use the same proposer. */
#define may_raise(d, t, k) (term[d] < (t) || (term[d] == (t) && proposer[d] > 0))
#define same_proposer(d, k) (proposer[d] > 0)
#else
#define may_raise(d, t, k) \
    (length[t] == 0 && \
     (term[d] < (t) || (term[d] == (t) && proposer[d] == (k) + 1 && (granters[k] & (1 << (d))) == 0)))
#define same_proposer(d, k) (proposer[d] == (k) + 1)
#endif

/* raise delivered to the database; its answer arrives or is lost. */
inline raise(d, t, k, answer_arrives) {
    term[d] = t;
    proposer[d] = k + 1;
    if
    :: answer_arrives ->
        if
#ifdef PROMOTE_ANY_GRANTER
        :: true ->
#else
        :: granters[k] == 0 || last_term[d] > best_term[k] ||
           (last_term[d] == best_term[k] && last_position[d] > best_position[k]) ->
#endif
            best[k] = d;
            best_term[k] = last_term[d];
            best_position[k] = last_position[d]
        :: else
        fi;
        granters[k] = granters[k] | (1 << d)
    :: else
    fi;
    drop_dead_takeovers()
}

#define has_majority(mask) ((mask) == 3 || (mask) == 5 || (mask) == 6 || (mask) == 7)

#define may_promote(t, k) (has_majority(granters[k]) && term[best[k]] == (t) && same_proposer(best[k], k))

inline begin_term(d, t, k) {
    primary_of[t] = d;
    i = 1;
    do
    :: i <= last_position[d] ->
        entry_at(t, i) = entry_at(last_term[d], i);
        i++
    :: else -> break
    od;
    length[t] = last_position[d];
    append(t, START);
    clear_takeover(k);
#if !defined(GRANT_TWICE) && !defined(PROPOSER_REUSED)
    /* No other takeover of this term can succeed; forgetting it saves states. */
    clear_takeover(slot(t, 0));
    clear_takeover(slot(t, RACERS - 1));
    i = 0;
    do
    :: i < 3 ->
        if :: term[i] == t -> proposer[i] = 0 :: else fi;
        i++
    :: else -> break
    od
#endif
}

/* promote delivered to the most advanced granter. */
inline promote(d, t, k) {
#if PROPERTY == ONE_PRIMARY
    assert(length[t] == 0 || primary_of[t] == d);
#endif
    if
    :: length[t] > 0 -> clear_takeover(k) /* the database is the primary of this term already */
    :: else -> begin_term(d, t, k)
    fi
}

/* p = number of entries that the database's log and the term's history have in common. */
inline find_common(d, t, p) {
    p = 0;
    do
    :: p < last_position[d] && p < length[t] &&
       term_of(entry_at(last_term[d], p + 1)) == term_of(entry_at(t, p + 1)) -> p++
    :: else -> break
    od
}

/* The first n entries of the term's history arrive at the database; what differs is truncated. */
inline adopt(d, t, n) {
    if
    :: term[d] < t ->
        term[d] = t;
        proposer[d] = 0;
        drop_dead_takeovers()
    :: else
    fi;
    last_position[d] = n;
    last_term[d] = term_of(entry_at(t, n));
    report_status(d);
#ifdef COUNT_OLD_TERM
    if :: n > held_by(t, d) -> held_by(t, d) = n :: else fi;
#endif
}

#ifdef REPLICATE_REPLACED_TERM
#define may_replicate(d, t) (length[t] > 0 && primary_of[t] != (d))
#else
#define may_replicate(d, t) (length[t] > 0 && primary_of[t] != (d) && term[d] <= (t))
#endif

inline execute_keyed(t) {
#ifdef KEY_NOT_REPLICATED
    /* The outcome is looked up only among the entries of the primary's own term. */
    find(t, length[t], KEYED, i);
    if :: i > 0 && term_of(entry_at(t, i)) != t -> i = 0 :: else fi;
#else
    find(t, length[t], KEYED, i);
#endif
    find(t, length[t], CANCELLED, j);
    if
    :: i == 0 && j == 0 && length[t] < LENGTH -> append(t, KEYED)
    :: else ->
#ifdef REFUSAL_WITHOUT_GATE
        if :: j > 0 && told_term == 0 -> told_term = t :: else fi
#else
        skip
#endif
    fi
}

inline settle(t) {
    find(t, length[t], KEYED, i);
    find(t, length[t], CANCELLED, j);
    if
    :: i == 0 && j == 0 ->
#ifdef SKIP_CANCELLATION
        if :: told_term == 0 -> told_term = t :: else fi
#else
        append(t, CANCELLED);
#ifdef CANCELLATION_WITHOUT_GATE
        if :: told_term == 0 -> told_term = t :: else fi
#endif
#endif
    :: else
    fi
}

/* --- properties ------------------------------------------------------------------------------------------------- */

#if PROPERTY == LOST
inline check() {
    i = 1;
    do
    :: i < TERMS ->
        n = released(i);
        j = i + 1;
        do
        :: n > 0 && j <= TERMS ->
            assert(length[j] == 0 || (length[j] >= n && term_of(entry_at(j, n)) == term_of(entry_at(i, n))));
            j++
        :: else -> break
        od;
        i++
    :: else -> break
    od;
    n = 0; m = 0; i = 0; j = 0
}
#elif PROPERTY == REPLACED
inline check() {
    i = 1;
    do
    :: i <= TERMS ->
        n = released(i);
        do
        :: n > 0 ->
            assert(term_of(entry_at(i, n)) != i || (entry_at(i, n) & LATE) == 0);
            n--
        :: else -> break
        od;
        i++
    :: else -> break
    od;
    n = 0; m = 0; i = 0; j = 0
}
#elif PROPERTY == ONCE
inline check() {
    i = 1;
    do
    :: i <= TERMS ->
        n = 0;
        j = 1;
        do
        :: j <= length[i] ->
            n = n + (kind_of(entry_at(i, j)) == KEYED) + (kind_of(entry_at(i, j)) == CANCELLED);
            j++
        :: else -> break
        od;
        assert(n <= 1);
        i++
    :: else -> break
    od;
    n = 0; m = 0; i = 0; j = 0
}
#elif PROPERTY == NOT_RUN
inline check() {
    i = 1;
    do
    :: i <= TERMS ->
        n = released(i);
        find(i, n, CANCELLED, m);
        if
        :: m > 0 || told_term == i ->
            j = 1;
            do
            :: j <= TERMS ->
                /* Later histories do not contain the write; earlier ones never released it. */
                n = (j >= i -> length[j] : released(j));
                find(j, n, KEYED, m);
                assert(m == 0);
                j++
            :: else -> break
            od
        :: else
        fi;
        i++
    :: else -> break
    od;
    n = 0; m = 0; i = 0; j = 0
}
#elif PROPERTY == TOKEN
/* For each write of kind w and each term i that could have acknowledged it with the token (i, m). */
inline check_token(w) {
    i = 1;
    do
    :: i <= TERMS ->
        n = released(i);
        find(i, n, w, m);
        if
        :: m > 0 ->
            d = 0;
            do
            :: d < 3 ->
                /* A replica, asked with its own term, that has reached the token. */
                if
#ifdef REPLICA_COMPARES_POSITION_ONLY
                :: last_position[d] >= m ->
#else
                :: last_term[d] == term[d] &&
                   (last_term[d] > i || (last_term[d] == i && last_position[d] >= m)) ->
#endif
                    find(last_term[d], last_position[d], w, j);
                    assert(j > 0)
                :: else
                fi;
                d++
            :: else -> break
            od;
            d = 1;
            do
            :: d <= TERMS ->
                /* The primary of term d, without a confirmation: the token's term is not later. */
                if
#ifdef PRIMARY_IGNORES_TOKEN_TERM
                :: accepts_requests(d) ->
#else
                :: accepts_requests(d) && i <= d ->
#endif
                    find(d, length[d], w, j);
                    assert(j > 0)
                :: else
                fi;
                d++
            :: else -> break
            od
        :: else
        fi;
        i++
    :: else -> break
    od;
    n = 0; m = 0; i = 0; j = 0; d = 0
}
inline check() {
    check_token(WRITE);
    check_token(KEYED)
}
#elif PROPERTY == PREFIX
/* Every term whose requests the database still accepts and that its last entry lets it serve. */
inline check() {
    d = 0;
    do
    :: d < 3 ->
        i = term[d];
        do
        :: i <= TERMS ->
            if
#ifdef REPLICA_IGNORES_LAST_TERM
            :: length[i] > 0 ->
#else
            :: length[i] > 0 && last_term[d] == i ->
#endif
                find_common(d, i, n);
                assert(n == last_position[d])
            :: else
            fi;
            i++
        :: else -> break
        od;
        d++
    :: else -> break
    od;
    n = 0; m = 0; i = 0; j = 0; d = 0
}
#else
inline check() { skip }
#endif

#if PROPERTY == FRESH
/* j = 1 if some term could have acknowledged a write of kind w, else 0. */
inline was_acknowledged(w) {
    j = 0;
    i = 1;
    do
    :: i <= TERMS ->
        n = released(i);
        find(i, n, w, m);
        if :: m > 0 -> j = 1 :: else fi;
        i++
    :: else -> break
    od
}

#ifdef ROUND_BEFORE_ARRIVAL
/* The round was started for an earlier read of term 1, so its answers may predate the arrival. */
#define may_confirm(d) (read_term <= 1 && term[d] == 1 && (read_confirmed & (1 << (d))) == 0)
#else
#define may_confirm(d) (read_term > 0 && term[d] == read_term && (read_confirmed & (1 << (d))) == 0)
#endif

inline arrive(t) {
    read_term = t;
    was_acknowledged(WRITE);
    read_expected = j;
    was_acknowledged(KEYED);
    read_expected = read_expected + 2 * j
}

#ifdef READ_WITHOUT_ROUND
#define round_complete true
#else
#define round_complete has_majority(read_confirmed)
#endif

inline release_read() {
    find(read_term, read_position, WRITE, i);
    assert((read_expected & 1) == 0 || i > 0);
    find(read_term, read_position, KEYED, i);
    assert((read_expected & 2) == 0 || i > 0);
    read_term = 0;
    read_expected = 0;
    read_confirmed = 0;
    read_position = 0
}
#endif

active proctype group() {
    byte d, t, r, n, m, i, j;

    /* Term 1: database 0 is primary and all hold its start entry. */
    d_step {
        term[0] = 1; term[1] = 1; term[2] = 1;
        primary_of[1] = 0;
        append(1, START);
        last_term[1] = 1; last_position[1] = 1; report_status(1);
        last_term[2] = 1; last_position[2] = 1; report_status(2)
    };

end:
    do
    /* raise; r is the racer, j whether the answer arrives */
    :: atomic {
        if
#define raise_option(D, T) :: may_raise(D, T, slot(T, 0)) -> d = D; t = T; r = 0
#define raise_options(T) for_databases(raise_option, T)
        for_later_terms(raise_options)
#if RACERS > 1
#define raise_option_1(D, T) :: may_raise(D, T, slot(T, 1)) -> d = D; t = T; r = 1
#define raise_options_1(T) for_databases(raise_option_1, T)
        for_later_terms(raise_options_1)
#endif
        fi;
        if
        :: j = 1
        :: term[d] < t -> j = 0
        fi;
        d_step {
            raise(d, t, slot(t, r), j);
            d = 0; i = 0; j = 0;
            check();
            t = 0; r = 0; i = 0
        }
       }

    /* promote */
    :: atomic {
        if
#define promote_option(T) :: may_promote(T, slot(T, 0)) -> t = T; r = 0
        for_later_terms(promote_option)
#if RACERS > 1
#define promote_option_1(T) :: may_promote(T, slot(T, 1)) -> t = T; r = 1
        for_later_terms(promote_option_1)
#endif
        fi;
        d_step {
            d = best[slot(t, r)];
            promote(d, t, slot(t, r));
            d = 0; i = 0;
            check();
            t = 0; r = 0; i = 0
        }
       }

    /* replication of the first n entries of a term's history, at any time after they were written */
    :: atomic {
        if
#define replicate_option(D, T) :: may_replicate(D, T) -> d = D; t = T
#define replicate_options(T) for_databases(replicate_option, T)
        for_terms(replicate_options)
        fi;
        d_step { find_common(d, t, n); i = 0 };
        do
        :: n < length[t] -> n++
        :: break
        od;
        i = 0; /* spin does not allow a loop to end at the start of a d_step */
        d_step {
            adopt(d, t, n);
            d = 0; n = 0; i = 0;
            check();
            t = 0; i = 0
        }
       }

#if WRITES
    /* the write without a key */
    :: atomic {
        if
#define write_option(T) :: !write_sent && accepts_requests(T) -> t = T
        for_terms(write_option)
        fi;
        d_step {
            write_sent = true;
            append(t, WRITE);
            check();
            t = 0
        }
       }
#endif

#if KEYS
    /* the keyed write, first time or repeated */
    :: atomic {
        if
#define request_option(T) :: accepts_requests(T) -> t = T
        for_terms(request_option)
        fi;
        d_step {
            execute_keyed(t);
            i = 0; j = 0;
            check();
            t = 0; i = 0; j = 0
        }
       }

    /* settle */
    :: atomic {
        if
        for_terms(request_option)
        fi;
        d_step {
            settle(t);
            i = 0; j = 0;
            check();
            t = 0; i = 0; j = 0
        }
       }
#endif

#if PROPERTY == FRESH
    /* a read without a usable token arrives at a home that believes in term t */
    :: atomic {
        if
#define read_option(T) :: read_term == 0 && length[T] > 0 -> t = T
        for_terms(read_option)
        fi;
        d_step {
            arrive(t);
            t = 0; n = 0; m = 0; i = 0; j = 0
        }
       }

    /* a database confirms the term in answer to a question sent after the arrival */
    :: atomic {
        if
#define confirm_option(D, T) :: may_confirm(D) -> d = D
        for_databases(confirm_option, 0)
        fi;
        read_confirmed = read_confirmed | (1 << d);
        d = 0
       }

    /* the primary executes the read */
    :: d_step {
        read_term > 0 && read_position == 0 && accepts_requests(read_term) ->
        read_position = length[read_term]
       }

    /* the gate and the round release it */
    :: d_step {
        read_position > 0 && read_position <= released(read_term) && round_complete ->
        release_read();
        n = 0; m = 0; i = 0; j = 0
       }
#endif
    od
}
