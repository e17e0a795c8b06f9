/*
 * Who may use a primary on the users' platform: evidence, registration and the wait of a takeover
 * (docs/platform-design.md, "Who may use a primary"). One daemon uses the old primary, a peer reads the store too, and a
 * third one, which may have joined just now, replaces the primary. Time is counted in ticks that pass at any point, so
 * that every answer may be late and every process may stand still. specifications/README.md lists the bounds.
 *
 * Defines: PROPERTY, the bounds L, K and TICKS, and at most one seeded mistake.
 */
#define SAFE 1   /* nobody uses the old primary once another was promoted */

#ifndef PROPERTY
#define PROPERTY SAFE
#endif
#ifndef L
#define L 1      /* life of evidence */
#endif
#ifndef K
#define K 2      /* for how long after the last sight of the store rounds count */
#endif
#ifndef TICKS
#define TICKS 7
#endif

short now;

/* --- the store -------------------------------------------------------------------------------------------------- */
bool record;                 /* the takeover record is open */
bool user_registered;
bool holder_registered;

/* --- the user of the old primary -------------------------------------------------------------------------------- */
short until;                 /* it may use the primary while now < until */
short seen;                  /* the latest moment at which a read of the store has shown the list of daemons that the
                                user knows, plus 1; 0 or less for none */
bool knows_holder;           /* the holder was registered at that read */
bool knows_record;
bool stopped;

/* --- the holder ------------------------------------------------------------------------------------------------- */
bool begun;                  /* set before the record is sent, and told to everybody who asks */
bool asked;
bool promoted;

#define later(a, b) ((a) > (b) -> (a) : (b))
#define earlier(a, b) ((a) < (b) -> (a) : (b))

inline extend(moment) {
    if
    :: until < (moment) -> until = (moment)
    :: else
    fi
}

proctype clock() {
    do
    :: now < TICKS -> now++
    :: now == TICKS -> break
    od
}

/* The user asks one thing at a time: the store, the peer, or everybody. */
proctype user_asks() {
    short sent, age, read_at, moment;
    bool saw_record, saw_user, saw_holder, knew_holder, holder_begun;
    do
    :: d_step { !user_registered -> user_registered = true }

       /* The store. */
#ifdef COUNT_BEFORE_REGISTRATION
    :: true ->
#else
    :: user_registered ->
#endif
        sent = now;
        d_step { saw_record = record; saw_holder = holder_registered };
        d_step {
            if
            :: saw_record -> knows_record = true
            :: else ->
#ifdef READ_DATED_AT_ANSWER
                sent = now;
#endif
                seen = later(seen, sent + 1);
                knows_holder = knows_holder || saw_holder;
                moment = sent + L;
                extend(moment)
            fi;
            sent = 0; moment = 0; saw_record = false; saw_holder = false
        }

       /* The peer, which has read the store some time before. It knows whether the user is registered. */
    :: user_registered ->
        read_at = now;
        d_step { saw_record = record; saw_user = user_registered; saw_holder = holder_registered };
        sent = now;
        age = now - read_at;
        d_step {
            if
            :: saw_record -> knows_record = true
            :: !saw_record && saw_user ->
#ifdef PEER_DATED_AT_ANSWER
                sent = now;
                age = 0;
#endif
#ifdef PEER_LENGTHENS_ANY_LIST
                seen = later(seen, sent - age + 1);
#else
                if
                :: saw_holder == knows_holder -> seen = later(seen, sent - age + 1)
                :: else
                fi;
#endif
                moment = sent - age + L;
                extend(moment)
            :: else
            fi;
            sent = 0; moment = 0; age = 0; read_at = 0; saw_record = false; saw_holder = false; saw_user = false
        }

       /* A round: every daemon that the user knows says that it has begun no takeover. */
    :: seen > 0 ->
        sent = now;
        knew_holder = knows_holder;
        holder_begun = knew_holder && begun;
        d_step {
#ifdef ROUND_DATED_AT_ANSWER
            sent = now;
#endif
            if
            :: !holder_begun ->
#ifdef NO_CAP
                moment = sent + L;
#else
                moment = earlier(sent + L, seen - 1 + K);
#endif
                extend(moment)
            :: else
            fi;
            sent = 0; moment = 0; knew_holder = false; holder_begun = false
        }
    :: now == TICKS -> break
    od
}

proctype user_works() {
    do
    :: d_step { now < until && !stopped && !knows_record -> assert(!promoted) }
    :: d_step { asked && !stopped -> stopped = true }
    :: now == TICKS -> break
    od
}

proctype holder() {
    short registered_at, recorded_at, wait_until;
    bool lists_user;
#ifdef REGISTRATION_DATED_AT_SENDING
    registered_at = now;
#endif
    holder_registered = true;
#ifndef REGISTRATION_DATED_AT_SENDING
    registered_at = now;
#endif
#ifdef LIST_READ_BEFORE_RECORD
    lists_user = user_registered;
#endif
    begun = true;
    record = true;
    recorded_at = now;
#ifndef LIST_READ_BEFORE_RECORD
    lists_user = user_registered;
#endif
    asked = lists_user;
#ifdef NEWCOMER_DOES_NOT_WAIT
    wait_until = recorded_at + L;
#else
    wait_until = later(recorded_at + L, registered_at + K + L);
#endif
#ifdef NO_WAIT_AFTER_RECORD
    wait_until = 0;
#endif
    do
    :: !lists_user || stopped || now >= wait_until -> promoted = true; break
    :: now == TICKS -> break
    od
}

init {
    atomic {
        run clock();
        run user_asks();
        run user_works();
        run holder()
    }
}
