/*
 * One takeover and one duty (docs/platform-design.md, "One duty for one takeover"). Two daemons may hold the duty of
 * replacing a primary in turn, each as often as its lease lapses and is granted again, while a takeover of each is under
 * way at any step. specifications/README.md lists the bounds.
 *
 * Defines: PROPERTY, the bound TAKES, and at most one seeded mistake.
 */
#define ORDER 1   /* no database is ordered to lead while daemons use another one */

#ifndef PROPERTY
#define PROPERTY ORDER
#endif
#ifndef TAKES
#define TAKES 4   /* how often the duty is taken */
#endif

#define SETTLED 0
#define OPEN 1
#define PROMOTING 2
#define NOBODY 0

/* --- the store -------------------------------------------------------------------------------------------------- */
byte duty;            /* the daemon that holds the duty */
byte token;           /* grows with each holder */
byte revision;        /* of the takeover record */
byte phase = SETTLED;
byte replaced;
byte chosen = 1;

/* --- the daemons that use primaries ------------------------------------------------------------------------------- */
byte in_use = 1;      /* the database that some daemon may use as the primary */

/* A record is written on the condition of the store, which holds the duty's token and the record's revision. */
#ifdef TAKEOVER_OUTLIVES_DUTY
#define is_current (duty == me)
#else
#define is_current (duty == me && token == claim_token && revision == claim_revision)
#endif

proctype duty_keeper(byte me) {
    do
    :: atomic { duty == NOBODY && token < TAKES -> duty = me; token++ }
    :: atomic { duty == me -> duty = NOBODY }
    :: break
    od
}

proctype takeover(byte me; byte target) {
    byte claim_token, claim_revision, stopped;

    /* A daemon may never hold the duty. */
end_idle:
    atomic { duty == me -> claim_token = token; claim_revision = revision };

    /* The record is opened, or taken over from the holder before, with the database that it ordered to lead. */
    atomic {
        if
        :: is_current && phase == SETTLED ->
            phase = OPEN; replaced = chosen; stopped = chosen; revision++; claim_revision = revision
        :: is_current && phase != SETTLED ->
            stopped = replaced;
            if
            :: phase == PROMOTING -> target = chosen
            :: else
            fi
        :: else -> goto finished
        fi
    };

    /* Every daemon has stopped using the replaced primary. */
    atomic {
        if
        :: in_use == stopped -> in_use = NOBODY
        :: else
        fi
    };

    atomic {
        if
        :: is_current -> phase = PROMOTING; chosen = target; revision++; claim_revision = revision
        :: else -> goto finished
        fi
    };

    atomic {
        if
        :: is_current -> assert(in_use == NOBODY || in_use == target)
        :: else -> goto finished
        fi
    };

    atomic {
        if
        :: is_current -> phase = SETTLED; in_use = target; revision++
        :: else
        fi
    };
finished:
    skip
}

init {
    atomic {
        run duty_keeper(1);
        run duty_keeper(2);
        run takeover(1, 2);
        run takeover(2, 3)
    }
}
