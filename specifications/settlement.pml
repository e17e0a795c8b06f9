/*
 * Which database a takeover may settle on (docs/platform-design.md, "Takeover"). Three databases; the platform promotes
 * the one that is requested, some time after the request. A replaced primary keeps its role until it hears from its
 * successor, and a database that is dark hears and answers nothing. The leader sees only what databases report.
 *
 * Defines: PROPERTY, the bounds TAKEOVERS and OUTAGES, and at most one seeded mistake.
 */
#define LEADS 1   /* the settled database is the platform's primary, and no other promotion is about to take effect */

#ifndef PROPERTY
#define PROPERTY LEADS
#endif
#ifndef TAKEOVERS
#define TAKEOVERS 3
#endif
#ifndef OUTAGES
#define OUTAGES 3   /* how often a database goes dark */
#endif

#define NOBODY 0

/* --- the platform ------------------------------------------------------------------------------------------------ */
byte present = 1;     /* the platform's primary */
byte newest = 1;      /* its term */
bool pending[4];      /* an accepted request that has not taken effect */

/* --- the databases ------------------------------------------------------------------------------------------------ */
bool is_primary[4];   /* what it reports of itself */
byte term[4];
bool dark[4];

proctype platform(byte me) {
end_platform:
    do
    :: atomic {
        pending[me] && !dark[me] ->
            pending[me] = false; newest++; present = me; term[me] = newest; is_primary[me] = true
       }
       /* The database went dark before the promotion took effect. */
    :: atomic { pending[me] && dark[me] -> pending[me] = false }
       /* A replaced primary hears from its successor. */
    :: atomic {
        is_primary[me] && present != me && !dark[me] && !dark[present] -> is_primary[me] = false
       }
    od
}

proctype outages() {
    byte count;
    byte which;
    do
    :: count < OUTAGES -> atomic {
        count++;
        if
        :: which = 1
        :: which = 2
        :: which = 3
        fi;
        dark[which] = true
       }
    :: dark[1] -> dark[1] = false
    :: dark[2] -> dark[2] = false
    :: dark[3] -> dark[3] = false
    :: break
    od
}

/* Whether a database may be requested. One that reports itself as the primary counts as promoted at once. */
#if defined(ANY_PRIMARY_COUNTS)
#define may_request(db) (!dark[db])
#elif defined(FIRST_REQUEST_COUNTS)
#define may_request(db) (!dark[db] && (!is_primary[db] || target == NOBODY || target == db))
#else
#define may_request(db) \
    (!dark[db] && (!is_primary[db] || (target == NOBODY && term[db] >= known_term) || target == db))
#endif

proctype leader() {
    byte takeovers;
    byte target;
    byte known_term;    /* of the primary of the last takeover, in its record */
    bool is_refused;

    do
    :: takeovers < TAKEOVERS ->
        takeovers++;
        target = NOBODY;
        is_refused = false;
        /* Without a database that may be promoted, the leader waits. */
end_waiting:
        do
        :: atomic {
            (target == NOBODY || is_refused) ->
end_choosing:
                if
                :: may_request(1) -> target = 1
                :: may_request(2) -> target = 2
                :: may_request(3) -> target = 3
                fi;
                is_refused = false
           }
           /* A suspected primary is asked to step down, so that it can be promoted. */
        :: atomic { is_refused && is_primary[1] && !dark[1] && target != 1 -> is_primary[1] = false }
           /* The request. The leader does not learn whether it was accepted. */
        :: atomic {
            target != NOBODY && !is_refused ->
                if
                :: !dark[target] && present != target -> pending[target] = true
                :: else
                fi
           }
           /* The platform refuses, and no earlier request may take effect any more. */
        :: atomic { target != NOBODY && !is_refused && dark[target] && !pending[target] -> is_refused = true }
           /* The target reports that it leads. */
        :: atomic {
            target != NOBODY && !is_refused && !dark[target] && is_primary[target] ->
#if PROPERTY == LEADS
                assert(present == target);
                assert((target == 1 || !pending[1]) && (target == 2 || !pending[2]) &&
                       (target == 3 || !pending[3]));
#endif
                known_term = term[target];
                pending[target] = false
           } -> break
        od
    :: break
    od
}

init {
    atomic {
        is_primary[1] = true;
        term[1] = 1;
        run platform(1);
        run platform(2);
        run platform(3);
        run outages();
        run leader()
    }
}
