/* At-most-once claims of one key: claims, seals, records, members that lose
   their memory, and several attempts (design chapter 6.3).

   A message that was sent stays available for ever: it is received never,
   once or many times, in any order.  So the model needs no channels, and a
   frozen attempt is one that makes no step for a while.

   Invariants:
     ONCE     a key runs at most once
     NOT_RUN  after the answer not-run the key has not run and never runs

   Each MUT_ macro switches one rule off.  */

#ifndef MEMBERS
#define MEMBERS 3
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif
#define QUORUM (MEMBERS / 2 + 1)

/* State of the key at a member; HELD + a: claimed by attempt a.  */
#define FREE 0
#define SEALED 1
#define DONE 2
#define HELD 3

mtype = { CLAIMING, OWNING, FLIGHT, SEALING, RECORDING, ENDED };

byte key[MEMBERS];
bool abstains[MEMBERS]; /* other incarnation, or generation too old */
mtype phase[ATTEMPTS] = CLAIMING;
byte granted[ATTEMPTS]; /* answers to an attempt: one bit a member */
byte sealed[ATTEMPTS];
bool outcome[ATTEMPTS]; /* a member answered with the outcome */
bool seals[ATTEMPTS];   /* messages that were sent */
bool records[ATTEMPTS];
bool pending[ATTEMPTS]; /* the request is at a server, or lost on its way */
byte runs;
bool not_run;

#define BITS(x) (((x) & 1) + ((x) >> 1 & 1) + ((x) >> 2 & 1))

#ifdef MUT_FORWARD_MINORITY
#define MAY_FORWARD(a) (granted[a] != 0)
#else
#define MAY_FORWARD(a) (BITS (granted[a]) >= QUORUM)
#endif

#ifdef MUT_SEAL_MINORITY
#define PROVED(a) (sealed[a] != 0)
#elif defined(MUT_NO_SEAL)
#define PROVED(a) (seals[a])
#else
#define PROVED(a) (BITS (sealed[a]) >= QUORUM)
#endif

#ifdef MUT_SEAL_TAKEN
#define MAY_SEAL(m, a) (key[m] == FREE || key[m] >= HELD)
#else
#define MAY_SEAL(m, a) (key[m] == FREE || key[m] == HELD + a)
#endif

#ifdef MUT_GRANT_SEALED
#define MAY_GRANT(m, a) (key[m] == FREE || key[m] == HELD + a || key[m] == SEALED)
#elif defined(MUT_GRANT_TAKEN)
#define MAY_GRANT(m, a) (key[m] == FREE || key[m] >= HELD)
#else
#define MAY_GRANT(m, a) (key[m] == FREE || key[m] == HELD + a)
#endif

#ifdef MUT_SEAL_FLIGHT
#define MAY_GIVE_UP(a) (phase[a] == CLAIMING || phase[a] == OWNING || phase[a] == FLIGHT)
#else
#define MAY_GIVE_UP(a) (phase[a] == CLAIMING || phase[a] == OWNING)
#endif

inline check ()
{
#ifndef SKIP_ONCE
  assert (runs <= 1); /* ONCE */
#endif
#ifndef SKIP_NOT_RUN
  assert (!not_run || runs == 0); /* NOT_RUN */
#endif
}

inline execute (a)
{
  pending[a] = false;
  runs++;
  check ();
}

proctype member (byte m)
{
  byte a;

  do
  /* A restart without memory, or the end of the key's time.  */
  :: atomic { !abstains[m] ->
       key[m] = FREE;
#ifndef MUT_INCARNATION
       abstains[m] = true
#endif
     }
  :: atomic { !abstains[m] ->
       select (a : 0 .. ATTEMPTS - 1);
       if
       /* Claim.  */
       :: MAY_GRANT (m, a) -> key[m] = HELD + a; granted[a] = granted[a] | (1 << m)
       :: key[m] == SEALED -> sealed[a] = sealed[a] | (1 << m)
       /* Seal.  */
       :: seals[a] && MAY_SEAL (m, a) -> key[m] = SEALED; sealed[a] = sealed[a] | (1 << m)
       /* Record; it replaces a claim or a seal of a minority.  */
       :: records[a] -> key[m] = DONE
       :: key[m] == DONE -> outcome[a] = true
       :: else
       fi;
       a = 0
     }
  od
}

proctype attempt (byte a)
{
  do
  :: atomic { phase[a] == CLAIMING && MAY_FORWARD (a) -> phase[a] = OWNING }
  :: atomic { phase[a] == OWNING -> phase[a] = FLIGHT; pending[a] = true }
  /* Gives up: no quorum, no capacity, deadline near.  */
  :: atomic { MAY_GIVE_UP (a) -> phase[a] = SEALING; seals[a] = true }
  /* The server runs the request and answers; proves that it did not run it;
     or the connection is lost, and the request may still run.  */
  :: atomic { phase[a] == FLIGHT -> execute (a); phase[a] = RECORDING; records[a] = true }
  :: atomic { phase[a] == FLIGHT -> pending[a] = false; phase[a] = OWNING }
  :: atomic { phase[a] == FLIGHT ->
#ifdef MUT_RETRY
              phase[a] = OWNING
#else
              phase[a] = RECORDING; records[a] = true
#endif
     }
  :: atomic { pending[a] && phase[a] != FLIGHT -> execute (a) }
  /* Answers of the attempt.  */
  :: atomic { (phase[a] == CLAIMING || phase[a] == SEALING) && PROVED (a) ->
              phase[a] = ENDED; not_run = true; check () }
  :: atomic { (phase[a] == CLAIMING || phase[a] == SEALING) && outcome[a] ->
              phase[a] = ENDED }
  od
}

init
{
  byte i;

  atomic {
    for (i : 0 .. MEMBERS - 1) { run member (i) }
    for (i : 0 .. ATTEMPTS - 1) { run attempt (i) }
    i = 0
  }
}
