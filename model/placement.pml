/*
 * The placement protocol for one task, two hosts and two entries.
 *
 * Messages are facts: once sent, a message may be delivered at any later time,
 * any number of times or never, which covers loss, delay, duplication and
 * reordering. Every step may be delayed at will, which covers pauses. A
 * session lapses whenever the environment likes. Time is one counter.
 *
 * Each -D names one broken variant; check_model.sh shows that it is caught.
 */

#define HOSTS 2
#define ENTRIES 2
#define NOBODY 9

#define LAST_TIME 5
#define LAST_GENERATION 2
#define LAST_EPOCH 2

#define STAMP_VALIDITY 1
#define OWNERSHIP_VALIDITY 1
#define RUN_LEASE 2

/* Phases of an owner's knowledge. */
#define NOT_OWNER 0
#define FOUND 1
#define IDLE 2
#define STAMPED 3
#define COMMITTED 4
#define CONFIRMED 5
#define PLACED 6

/* ---- The store ---- */
byte store_owner = NOBODY;
byte store_epoch = 0;
byte store_generation = 0;
byte store_host = NOBODY;
bool session[ENTRIES];
bool joined;

/* ---- Operators: each host is a domain of its own ---- */
bool out[HOSTS];
byte out_since[HOSTS];

/* ---- Time ---- */
byte now = 0;

/* ---- Owners ---- */
byte phase[ENTRIES];
byte epoch[ENTRIES];
byte found_owner[ENTRIES];
bool confirmed[ENTRIES];  /* renewed within the validity of one tick */
byte target[ENTRIES];
byte stamp[ENTRIES];
byte stamp_run[ENTRIES];
byte ended_after[ENTRIES];
bool allowed[ENTRIES];

/* ---- Agents and their workers ---- */
byte running[HOSTS];      /* generation, 0: none */
byte lease_until[HOSTS];
byte lowest[HOSTS];       /* generations up to this one are refused */
byte seen_epoch[HOSTS];
byte run_number[HOSTS];   /* incarnation */

/* ---- Messages in flight ---- */
bool start_sent[LAST_GENERATION + 1];
byte start_host[LAST_GENERATION + 1];
byte start_stamp[LAST_GENERATION + 1];
byte start_run[LAST_GENERATION + 1];
byte start_epoch[LAST_GENERATION + 1];
bool started[LAST_GENERATION + 1];
byte renew_until[LAST_EPOCH + 1];  /* for the store's host of that epoch */
byte renew_host[LAST_EPOCH + 1];

#define RUNS(h) (running[h] != 0 && now < lease_until[h])

#ifdef NO_STAMP
#define FRESH(g) true
#else
#define FRESH(g) (now - start_stamp[g] <= STAMP_VALIDITY)
#endif

#ifdef RENEW_UNCONFIRMED
#define MAY_RENEW(e) true
#else
#define MAY_RENEW(e) confirmed[e]
#endif

#ifdef STALE_LISTING
#define FOUND_DEAD(e) listed_dead
#else
#define FOUND_DEAD(e) (!session[1 - e])
#endif

/* Properties. */
#define ONE_PLACE assert(!(RUNS(0) && RUNS(1)))
#define STARTED_ONCE(g) assert(!started[g])
#define NOT_LONG_OUT(h) assert(!out[h] || now - out_since[h] <= STAMP_VALIDITY)

inline Forget(n) {
  if
  :: start_sent[n] && !FRESH(n) ->
     start_sent[n] = false; start_host[n] = 0; start_stamp[n] = 0;
     start_run[n] = 0; start_epoch[n] = 0
  :: else
  fi;
  if
  :: renew_until[n] != 0 && renew_until[n] <= now ->
     renew_until[n] = 0; renew_host[n] = 0
  :: else
  fi
}

proctype Clock() {
  do
  :: atomic {
       now < LAST_TIME -> now++;
       confirmed[0] = false; confirmed[1] = false;
       /* A task ends with its lease, on the worker's own clock. */
       if :: running[0] != 0 && now >= lease_until[0] -> running[0] = 0; lease_until[0] = 0 :: else fi;
       if :: running[1] != 0 && now >= lease_until[1] -> running[1] = 0; lease_until[1] = 0 :: else fi;
       /* What can no longer matter is forgotten, to keep the search small. */
       Forget(1);
       Forget(2)
     }
  :: now == LAST_TIME -> break
  od
}

proctype Environment() {
end:
  do
  /* Entry 0 joins late, so that a listing can be older than its session. */
  :: atomic { !joined -> joined = true; session[0] = true }
  :: atomic { session[0] -> session[0] = false }
  :: atomic { session[1] -> session[1] = false }
#ifdef WITH_OPERATOR
  :: atomic { !out[0] -> out[0] = true; out_since[0] = now }
#endif
#ifdef WITH_RESTART
  :: atomic { run_number[1] == 0 -> run_number[1] = 1; lowest[1] = 0; seen_epoch[1] = 0 }
#endif
  od
}

#define CAN_OFFER(e, h) \
  (phase[e] == IDLE && store_generation < LAST_GENERATION && \
   seen_epoch[h] <= epoch[e] && !RUNS(h))

inline TakeStamp(e, h) {
  seen_epoch[h] = epoch[e];
  target[e] = h;
  stamp[e] = now;
  stamp_run[e] = run_number[h];
  ended_after[e] = 0;
  phase[e] = STAMPED
}

proctype Owner(byte e) {
  bool listed_dead;
end:
  do
  /* The session is renewed while it lives. */
  :: atomic { session[e] && !confirmed[e] -> confirmed[e] = true }

#ifdef STALE_LISTING
  /* Broken: the listing may be older than the record. */
  :: atomic { phase[e] == NOT_OWNER && !listed_dead && !session[1 - e] -> listed_dead = true }
#endif

  /* Claiming: read the record, then list the sessions, then swap. */
  :: atomic {
       phase[e] == NOT_OWNER && session[e] && store_epoch < LAST_EPOCH &&
       (store_epoch > 0 || e == 0) ->  /* entry 0 comes first, by symmetry */
       epoch[e] = store_epoch; found_owner[e] = store_owner; phase[e] = FOUND
     }
  :: atomic {
       phase[e] == FOUND ->
       if
       :: found_owner[e] == NOBODY || found_owner[e] == e || FOUND_DEAD(e) ->
          skip
       :: else -> phase[e] = NOT_OWNER; goto next
       fi;
       if
       :: store_epoch == epoch[e] ->
          store_epoch++; store_owner = e; epoch[e] = store_epoch;
          if
          :: store_generation == 0 -> phase[e] = IDLE
          :: else ->
             phase[e] = PLACED;
#ifdef NO_TAKEOVER_WAIT
             ended_after[e] = now
#else
             ended_after[e] = now + OWNERSHIP_VALIDITY + RUN_LEASE
#endif
          fi
       :: else -> phase[e] = NOT_OWNER
       fi;
next:  found_owner[e] = 0
     }

  /* The handshake: the host holds room and gives a stamp. */
  :: atomic { CAN_OFFER(e, 0) -> TakeStamp(e, 0) }
  :: atomic { CAN_OFFER(e, 1) -> TakeStamp(e, 1) }
#ifdef CONFIGURATION_BEFORE_STAMP
  /* Broken: the configuration is read before the stamp is taken. */
  :: atomic { phase[e] == IDLE && !allowed[e] && !out[0] -> allowed[e] = true }
#endif

  /* Write ahead: the swap fails for a deposed owner. */
  :: atomic {
       phase[e] == STAMPED ->
       if
       :: store_epoch == epoch[e] ->
          store_generation++; store_host = target[e]; phase[e] = COMMITTED
       :: else -> phase[e] = NOT_OWNER
       fi
     }
  :: atomic {
       phase[e] == COMMITTED ->
#ifndef CONFIGURATION_BEFORE_STAMP
       allowed[e] = !out[target[e]];
#endif
       if
       :: allowed[e] || target[e] == 1 -> phase[e] = CONFIRMED
       :: else ->
          /* Only this owner could have told the host: nothing runs. */
          phase[e] = IDLE
       fi;
       allowed[e] = false
     }
  :: atomic {
       phase[e] == CONFIRMED && store_epoch == epoch[e] ->
       start_sent[store_generation] = true;
       start_host[store_generation] = target[e];
       start_stamp[store_generation] = stamp[e];
       start_run[store_generation] = stamp_run[e];
       start_epoch[store_generation] = epoch[e];
       ended_after[e] = now + RUN_LEASE;
       phase[e] = PLACED
     }
  /* A deposed owner that does not know it yet sends its start all the same. */
  :: atomic {
       phase[e] == CONFIRMED && store_epoch != epoch[e] &&
       store_generation >= 1 && !start_sent[store_generation] && !started[store_generation] ->
       start_sent[store_generation] = true;
       start_host[store_generation] = target[e];
       start_stamp[store_generation] = stamp[e];
       start_run[store_generation] = stamp_run[e];
       start_epoch[store_generation] = epoch[e];
       phase[e] = NOT_OWNER
     }

  /* A heartbeat of the host is answered with a renewal. */
  :: atomic {
       phase[e] == PLACED && store_host != NOBODY && MAY_RENEW(e) &&
       (renew_until[epoch[e]] != now + RUN_LEASE || renew_host[epoch[e]] != store_host) ->
       renew_until[epoch[e]] = now + RUN_LEASE;
       renew_host[epoch[e]] = store_host;
       ended_after[e] = (ended_after[e] > now + RUN_LEASE -> ended_after[e] : now + RUN_LEASE)
     }

  /* The host is asked; "not here" is a promise. */
  :: atomic {
       phase[e] == PLACED && seen_epoch[store_host] <= epoch[e] &&
       store_epoch == epoch[e] ->
       seen_epoch[store_host] = epoch[e];
       if
       :: running[store_host] == store_generation && RUNS(store_host) -> skip
       :: else ->
#ifndef NO_PROMISE
          lowest[store_host] =
            (lowest[store_host] > store_generation -> lowest[store_host] : store_generation);
#endif
          phase[e] = IDLE
       fi
     }

  /* The lease has surely ended. */
  :: atomic { phase[e] == PLACED && now > ended_after[e] -> phase[e] = IDLE }
  od
}

#define CAN_START(h, g) \
  (start_sent[g] && start_host[g] == h && start_run[g] == run_number[h] && \
   FRESH(g) && g > lowest[h] && start_epoch[g] >= seen_epoch[h] && !RUNS(h))

#define CAN_RENEW(h, x) \
  (renew_until[x] != 0 && renew_host[x] == h && x >= seen_epoch[h] && \
   RUNS(h) && renew_until[x] > lease_until[h])

inline Begin(h, g) {
  STARTED_ONCE(g);
  NOT_LONG_OUT(h);
  started[g] = true;
  running[h] = g;
  lease_until[h] = start_stamp[g] + RUN_LEASE;
  lowest[h] = g;
  seen_epoch[h] = start_epoch[g];
  ONE_PLACE
}

inline Extend(h, x) {
  lease_until[h] = renew_until[x];
  ONE_PLACE
}

proctype Agent(byte h) {
end:
  do
  :: atomic { CAN_START(h, 1) -> Begin(h, 1) }
  :: atomic { CAN_START(h, 2) -> Begin(h, 2) }
  :: atomic { CAN_RENEW(h, 1) -> Extend(h, 1) }
  :: atomic { CAN_RENEW(h, 2) -> Extend(h, 2) }
  od
}

init {
  atomic {
    session[1] = true;
    run Clock();
    run Environment();
    run Owner(0);
    run Owner(1);
    run Agent(0);
    run Agent(1)
  }
}
