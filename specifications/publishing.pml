/*
 * Publishing the configuration: compare-and-swap in the store, answers lost after the change took effect, two
 * publishers, store outages, the spread between daemons and their restarts (docs/design.md, section 4, Configuration).
 * specifications/README.md lists the bounds.
 *
 * Defines: PROPERTY, and at most one seeded mistake.
 */
#define TRUTH 1     /* each publisher is told what happened to its change; one of two with the same base wins */
#define MONOTONE 2  /* the revision of a running daemon never falls */
#define RESTART 3   /* a restarted daemon serves with no older revision than it could learn from the peers it asked */

#ifndef PROPERTY
#define PROPERTY TRUTH
#endif

#define PUBLISHERS 2
#define ATTEMPTS 2    /* put_if requests of one publisher that may be on their way at once */
#define REVISIONS 3   /* revision 1 is the base; each publisher may change it once, the loser again on top */

/* --- the store -------------------------------------------------------------------------------------------------- */
byte revision = 1;
byte author[REVISIONS + 1];   /* publisher of each revision, plus 1; the value lists the recent publications */

/* --- publishers ------------------------------------------------------------------------------------------------- */
#define IDLE 0
#define WAITING 1    /* sent; an answer may come */
#define UNCERTAIN 2  /* the connection closed without an answer */
#define WON 3
#define LOST 4
byte phase[PUBLISHERS];
byte base[PUBLISHERS];
byte on_the_way[PUBLISHERS];  /* put_if requests that the store may still execute */
bool first_lost[PUBLISHERS];  /* was told that the change on base 1 lost, before it published again */

#define published(p, b) ((b) < REVISIONS && author[(b) + 1] == (p) + 1)

/* The reading of the key after a lost answer. */
#ifdef READ_BACK_LATEST_ONLY
#define sees_own(p) (author[revision] == (p) + 1 && revision == base[p] + 1)
#else
#define sees_own(p) published(p, base[p])
#endif

inline check_truth() {
#if PROPERTY == TRUTH
    i = 0;
    do
    :: i < PUBLISHERS ->
        assert(phase[i] != WON || published(i, base[i]));
        assert(phase[i] != LOST || !published(i, base[i]));
        assert(!first_lost[i] || !published(i, 1));
        i++
    :: else -> break
    od;
    /* Both told about the same base: exactly one won. */
    assert(base[0] != base[1] || phase[0] < WON || phase[1] < WON || (phase[0] == WON) != (phase[1] == WON));
    i = 0
#else
    skip
#endif
}

/* --- daemons ---------------------------------------------------------------------------------------------------- */
#define DAEMONS 3
#define STOPPED 0
#define ASKING 1   /* restarted with empty memory, serves nothing yet */
#define SERVING 2
byte state[DAEMONS];
byte in_force[DAEMONS];      /* 0: empty memory */
byte greatest_seen;          /* greatest revision that left the store; a late message may carry it or any older one */
byte waits_for[DAEMONS];     /* bit per peer whose answer to this start's question is awaited */
byte expected[DAEMONS];      /* greatest revision held by an asked and answering peer when it was asked */
byte held_when_asked[DAEMONS * DAEMONS];

inline accept(d, r) {
    if
#ifdef ACCEPT_LOWER_REVISION
    :: r != in_force[d] ->
#else
    :: r > in_force[d] ->
#endif
#if PROPERTY == MONOTONE
        assert(r > in_force[d]);
#endif
        in_force[d] = r
    :: else
    fi
}

inline serve(d) {
#if PROPERTY == RESTART
    assert(in_force[d] >= expected[d]);
#endif
    state[d] = SERVING;
    waits_for[d] = 0;
    expected[d] = 0
}

#define other(d, k) (((d) + (k)) % DAEMONS)

inline ask(d, peer) {
    if
    :: state[peer] == SERVING ->
        waits_for[d] = waits_for[d] | (1 << peer);
        held_when_asked[d * DAEMONS + peer] = in_force[peer]
    :: else
    fi
}

inline forget_questions(d) {
    held_when_asked[d * DAEMONS] = 0;
    held_when_asked[d * DAEMONS + 1] = 0;
    held_when_asked[d * DAEMONS + 2] = 0
}

#if PROPERTY == TRUTH
active proctype publishing() {
    byte p, i;

    d_step { base[0] = 1; base[1] = 1 };
end:
    do
    :: atomic {
        if :: p = 0 :: p = 1 fi;
        if
        /* first publication, both from base 1 */
        :: phase[p] == IDLE ->
            d_step { on_the_way[p] = 1; phase[p] = WAITING }

        /* the loser publishes its change again on top of the present revision */
        :: phase[p] == LOST && base[p] == 1 && on_the_way[p] == 0 && revision < REVISIONS ->
            d_step { first_lost[p] = true; base[p] = revision; on_the_way[p] = 1; phase[p] = WAITING }

        /* the store executes a request and its answer arrives */
        :: on_the_way[p] > 0 && phase[p] == WAITING && on_the_way[p] == 1 ->
            d_step {
                on_the_way[p]--;
                if
#ifdef PUT_WITHOUT_COMPARE
                :: revision < REVISIONS ->
#else
                :: revision == base[p] ->
#endif
                    revision++;
                    author[revision] = p + 1;
                    phase[p] = WON
                :: else ->
                    /* refused: an earlier attempt of the same publisher may have changed it */
                    phase[p] = (sees_own(p) -> WON : LOST)
                fi
            }

        /* the store executes a request whose answer is lost, or that its sender no longer waits for */
        :: on_the_way[p] > 0 ->
            d_step {
                on_the_way[p]--;
                if
#ifdef PUT_WITHOUT_COMPARE
                :: revision < REVISIONS ->
#else
                :: revision == base[p] ->
#endif
                    revision++;
                    author[revision] = p + 1
                :: else
                fi;
                if :: phase[p] == WAITING -> phase[p] = UNCERTAIN :: else fi
            }

        /* a request is lost, or the store is down */
        :: on_the_way[p] > 0 ->
            d_step {
                on_the_way[p]--;
                if :: phase[p] == WAITING -> phase[p] = UNCERTAIN :: else fi
            }

        /* the connection closes while the request is still on its way */
        :: phase[p] == WAITING ->
            phase[p] = UNCERTAIN

#ifdef GUESS_WON
        :: phase[p] == UNCERTAIN -> phase[p] = WON
#endif
#ifdef GUESS_LOST
        :: phase[p] == UNCERTAIN -> phase[p] = LOST
#endif
        /* the key is read back: the change is in it, or another change of the base is, or the base is still there */
        :: phase[p] == UNCERTAIN ->
            d_step {
                if
                :: sees_own(p) -> phase[p] = WON
                :: !sees_own(p) && revision != base[p] -> phase[p] = LOST
                :: else ->
#ifdef READ_BACK_ONCE
                    phase[p] = LOST
#else
                    /* A request may still be on its way, so only the store's answer to a repetition settles it. */
                    if
                    :: on_the_way[p] < ATTEMPTS -> on_the_way[p]++; phase[p] = WAITING
                    :: else
                    fi
#endif
                fi
            }
        :: else
        fi;
        d_step { check_truth(); p = 0 }
       }
    od
}

#else

active proctype spreading() {
    byte d, peer, r;

    d_step {
        greatest_seen = 1;
        in_force[0] = 1; in_force[1] = 1; in_force[2] = 1;
        state[0] = SERVING; state[1] = SERVING; state[2] = SERVING
    };
end:
    do
    /* a revision is published */
    :: revision < REVISIONS -> revision++

    /* daemons 0 and 1 watch the store; an answer may be late and so of any older revision */
    :: atomic {
        if
        :: state[0] != STOPPED -> d = 0
        :: state[1] != STOPPED -> d = 1
        fi;
        r = 1;
        do
        :: r < revision -> r++
        :: break
        od;
        peer = 0; /* spin does not allow a loop to end at the start of a d_step */
        d_step {
            accept(d, r);
            if :: r > greatest_seen -> greatest_seen = r :: else fi;
            d = 0; r = 0
        }
       }

    /* gossip, of now or late; includes a late answer to a question of an earlier start */
    :: atomic {
        if
        :: state[0] != STOPPED -> d = 0
        :: state[1] != STOPPED -> d = 1
        :: state[2] != STOPPED -> d = 2
        fi;
        r = 1;
        do
        :: r < greatest_seen -> r++
        :: break
        od;
#ifdef OLD_ANSWER_COUNTS
        if :: peer = other(d, 1) :: peer = other(d, 2) fi;
#else
        peer = 0; /* spin does not allow a loop to end at the start of a d_step */
#endif
        d_step {
            accept(d, r);
#ifdef OLD_ANSWER_COUNTS
            /* Counted as the answer of the peer to the present question. */
            if
            :: state[d] == ASKING && (waits_for[d] & (1 << peer)) ->
                waits_for[d] = waits_for[d] & (7 - (1 << peer));
                if
                :: held_when_asked[d * DAEMONS + peer] > expected[d] ->
                    expected[d] = held_when_asked[d * DAEMONS + peer]
                :: else
                fi
            :: else
            fi;
#endif
            d = 0; r = 0; peer = 0
        }
       }

    /* stop, losing the memory; the connections on which it was asked close, so its next start answers nothing */
    :: atomic {
        if
        :: state[0] != STOPPED -> d = 0
        :: state[1] != STOPPED -> d = 1
        :: state[2] != STOPPED -> d = 2
        fi;
        d_step {
            state[d] = STOPPED;
            in_force[d] = 0;
            waits_for[d] = 0;
            expected[d] = 0;
            forget_questions(d);
            waits_for[other(d, 1)] = waits_for[other(d, 1)] & (7 - (1 << d));
            waits_for[other(d, 2)] = waits_for[other(d, 2)] & (7 - (1 << d));
            d = 0
        }
       }

    /* start: every serving peer is asked */
    :: atomic {
        if
        :: state[0] == STOPPED -> d = 0
        :: state[1] == STOPPED -> d = 1
        :: state[2] == STOPPED -> d = 2
        fi;
        d_step {
            state[d] = ASKING;
            ask(d, other(d, 1));
            ask(d, other(d, 2));
            d = 0
        }
       }

    /* an asked peer answers with what it holds now */
    :: atomic {
        if
#define answer_option(D, K) :: (waits_for[D] & (1 << other(D, K))) && state[other(D, K)] == SERVING -> \
            d = D; peer = other(D, K)
        answer_option(0, 1)
        answer_option(0, 2)
        answer_option(1, 1)
        answer_option(1, 2)
        answer_option(2, 1)
        answer_option(2, 2)
        fi;
        d_step {
            accept(d, in_force[peer]);
            waits_for[d] = waits_for[d] & (7 - (1 << peer));
            if
            :: held_when_asked[d * DAEMONS + peer] > expected[d] ->
                expected[d] = held_when_asked[d * DAEMONS + peer]
            :: else
            fi;
#ifdef SERVE_AFTER_FIRST_ANSWER
            /* The other answers are not awaited, although their peers would answer in time. */
            if
            :: waits_for[d] & (1 << other(d, 1)) ->
                expected[d] = (held_when_asked[d * DAEMONS + other(d, 1)] > expected[d] ->
                    held_when_asked[d * DAEMONS + other(d, 1)] : expected[d])
            :: else
            fi;
            if
            :: waits_for[d] & (1 << other(d, 2)) ->
                expected[d] = (held_when_asked[d * DAEMONS + other(d, 2)] > expected[d] ->
                    held_when_asked[d * DAEMONS + other(d, 2)] : expected[d])
            :: else
            fi;
            waits_for[d] = 0;
#endif
            d = 0; peer = 0
        }
       }

    /* an asked peer does not answer in time */
    :: atomic {
        if
#define silent_option(D, K) :: waits_for[D] & (1 << other(D, K)) -> d = D; peer = other(D, K)
        silent_option(0, 1)
        silent_option(0, 2)
        silent_option(1, 1)
        silent_option(1, 2)
        silent_option(2, 1)
        silent_option(2, 2)
        fi;
        d_step { waits_for[d] = waits_for[d] & (7 - (1 << peer)); d = 0; peer = 0 }
       }

    /* serve once no answer is awaited and something is known; with no answer at all, the store is asked first */
    :: atomic {
        if
        :: state[0] == ASKING && waits_for[0] == 0 -> d = 0
        :: state[1] == ASKING && waits_for[1] == 0 -> d = 1
        :: state[2] == ASKING && waits_for[2] == 0 -> d = 2
        fi;
        if
        :: in_force[d] > 0 -> skip
        :: in_force[d] == 0 ->
            in_force[d] = revision;
            if :: revision > greatest_seen -> greatest_seen = revision :: else fi
        fi;
        peer = 0;
        d_step {
            serve(d);
            forget_questions(d);
            d = 0
        }
       }
    od
}
#endif
