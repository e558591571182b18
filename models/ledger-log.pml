/* The log part.  An entry is identified by its index and term.  The leader of
   the term has created it, and its value is in made.  */

/* To limit the number of states, membership is checked without restarts and
   snapshots, with two possible candidates and with one empty entry of each
   leader.  */
#ifdef MEMBERSHIP
#define MAY_STAND(s) (s < 2)
#define RESTARTS false
#define SNAPSHOTS false
#define MAY_BE_EMPTY(s) (LAST (s) != term[s])
#else
#define MAY_STAND(s) true
#define RESTARTS true
#define SNAPSHOTS true
#define MAY_BE_EMPTY(s) true
#endif

#define EMPTY 0
#define NOTHING 0 /* value of a leader's empty entry */
#define TICKET 1  /* tickets 1 and 2 have the values 1 and 2; both claim number 1 */
#define CONFIG 16 /* a membership change has the value CONFIG + set of voters */

byte length[SERVERS];
byte commit[SERVERS]; /* volatile */
byte log[SERVERS * LEN]; /* terms of the entries; durable */

byte made[(TERMS + 1) * LEN];   /* values of entries by term and index */
byte sent[(TERMS + 1) * LEN];   /* log of the leader of a term, as sent */
byte sent_len[TERMS + 1];
byte sent_commit[TERMS + 1];

byte done[LEN];    /* terms of the committed entries; for COMMITTED */
byte done_in[LEN]; /* lowest term in which each was committed */
#ifdef TICKETS
byte winner;    /* ticket that got number 1, by the entries applied so far */
byte number[SERVERS]; /* applied configuration number of a server */
byte follower;  /* number in force at the follower of the configuration */
#endif

#define LOG(s, i) log[(s) * LEN + (i)]
#define SENT(t, i) sent[(t) * LEN + (i)]
#define MADE(t, i) made[(t) * LEN + (i)]
#define LAST(s) (length[s] == 0 -> 0 : LOG (s, length[s] - 1))

#ifndef FIRST_VOTERS
#define FIRST_VOTERS ALL
#endif

/* Sets SET to the voters in the last membership entry of S, committed or
   not.  */
inline voters_of (s, set)
{
  set = FIRST_VOTERS;
#ifdef MEMBERSHIP
  for (i : 0 .. length[s] - 1) {
    if
    :: MADE (LOG (s, i), i) >= CONFIG -> set = MADE (LOG (s, i), i) - CONFIG
    :: else
    fi
  }
  i = 0
#endif
}

#define IS_TICKET(value) (value == TICKET || value == TICKET + 1)
#ifdef MUT_NUMBER_AT_PROPOSAL
#define WINS(s) true
#else
#define WINS(s) (number[s] == 0)
#endif

/* S applies its log up to TO.  A ticket is refused when the number that it
   claims is not the next one.  */
inline apply (s, to)
{
#ifdef TICKETS
  for (i : commit[s] .. to - 1) {
    if
    :: IS_TICKET (MADE (LOG (s, i), i)) && WINS (s) ->
       assert (winner == 0 || winner == MADE (LOG (s, i), i)); /* WINNER */
       winner = MADE (LOG (s, i), i);
       number[s] = 1
    :: else
    fi
  }
  i = 0;
#endif
  commit[s] = to
}

/* The leader S appends an entry to its log, and sends it.  */
inline append (s, value)
{
  LOG (s, length[s]) = term[s];
  MADE (term[s], length[s]) = value;
  SENT (term[s], length[s]) = term[s];
  length[s]++;
  sent_len[term[s]] = length[s];
  MATCH (s, s) = length[s]
}

#define LEADS(t) (role[leader_of[t] - 1] == LEADER && term[leader_of[t] - 1] == t)

/* The leader of term T, if it is still leader, receives the acknowledgement of
   N entries from this server at once.  A late answer needs no step of its own:
   it is the same as a message that is received later.  */
inline acknowledge (t, n)
{
  if
  :: LEADS (t) && MATCH (leader_of[t] - 1, _pid) < n -> MATCH (leader_of[t] - 1, _pid) = n
  :: else
  fi
}

/* Whether the log of the candidate C is at least as up to date as that of
   S.  */
#ifdef MUT_VOTE_ANY_LOG
#define GOOD_LOG(c, s) true
#else
#define GOOD_LOG(c, s) (LAST (c) > LAST (s) || (LAST (c) == LAST (s) && length[c] >= length[s]))
#endif

#ifdef MUT_COMMIT_OLD_TERM
#define OF_TERM(s, n) true
#else
#define OF_TERM(s, n) (LOG (s, n - 1) == term[s])
#endif

#ifdef MUT_CHANGE_WITHOUT_COMMIT
#define MAY_CHANGE(s) true
#else
#define MAY_CHANGE(s) (commit[s] == length[s] && length[s] > 0 && LAST (s) == term[s])
#endif

/* Whether the entry before index P matches the log of the leader of term
   T.  */
#ifdef MUT_NO_PREVIOUS
#define PREVIOUS(s, t, p) true
#else
#define PREVIOUS(s, t, p) (p == 0 || LOG (s, p - 1) == SENT (t, p - 1))
#endif

/* A server whose log has the last entry of a snapshot ignores the snapshot, so
   that it keeps the entries after it.  */
#ifdef MUT_OLD_SNAPSHOT
#define TAKES_SNAPSHOT(s, t, n) true
#else
#define TAKES_SNAPSHOT(s, t, n) (n > commit[s] && (n > length[s] || LOG (s, n - 1) != SENT (t, n - 1)))
#endif

#ifdef MUT_FOLLOW_ANY
#define TAKES_NUMBER(s) (number[s] != follower)
#else
#define TAKES_NUMBER(s) (number[s] > follower)
#endif

/* Whether the state of the leader S is the newest: the entry applied last is of
   its term.  */
#ifdef MUT_READ_BY_LEASE
#define CURRENT(s) true
#else
#define CURRENT(s) (commit[s] > 0 && LOG (s, commit[s] - 1) == term[s])
#endif

active [SERVERS] proctype server ()
{
  byte o, n, p, i, k, set; /* reset to 0 after each step, to save states */

  FIRST_CANDIDATE;
  do
  /* Election.  */
  :: d_step { role[_pid] != LEADER && term[_pid] < TERMS ->
       voters_of (_pid, set);
       if
       :: (set >> _pid & 1) && MAY_STAND (_pid) -> stand (_pid)
       :: else
       fi;
       set = 0
     }
  :: atomic { select (o : 0 .. SERVERS - 1);
       d_step {
         if
         :: o != _pid && role[o] == CANDIDATE && FREE_TO_VOTE (_pid, o) && GOOD_LOG (o, _pid) ->
            grant (_pid, o)
         :: else
         fi;
         o = 0
       }
     }
  :: d_step { role[_pid] == CANDIDATE ->
       voters_of (_pid, set);
       if
       :: MAJORITY (votes[_pid], set) ->
          win (_pid);
          /* The log of the leader contains all entries committed in earlier
             terms.  */
          for (i : 0 .. LEN - 1) {
            assert (done[i] == EMPTY || done_in[i] >= term[_pid] || LOG (_pid, i) == done[i]) /* COMMITTED */
          }
          for (i : 0 .. length[_pid] - 1) { SENT (term[_pid], i) = LOG (_pid, i) }
          i = 0;
          sent_len[term[_pid]] = length[_pid];
          MATCH (_pid, _pid) = length[_pid]
       :: else
       fi;
       set = 0
     }

  /* Proposals of the leader.  */
  :: d_step { role[_pid] == LEADER && length[_pid] < LEN && MAY_BE_EMPTY (_pid) -> append (_pid, NOTHING) }
#ifdef TICKETS
  /* The check at the proposal is only a hint: another ticket can be logged
     first.  */
  :: d_step { role[_pid] == LEADER && length[_pid] < LEN && number[_pid] == 0 -> append (_pid, TICKET) }
  :: d_step { role[_pid] == LEADER && length[_pid] < LEN && number[_pid] == 0 -> append (_pid, TICKET + 1) }
#endif
#ifdef MEMBERSHIP
  /* One membership change at a time, after an entry of the leader's term is
     committed: the first or the last server joins or leaves.  */
  :: atomic { role[_pid] == LEADER && length[_pid] < LEN && MAY_CHANGE (_pid) ->
       if
       :: o = 0; p = 0
       :: o = SERVERS - 1; p = SERVERS - 1
#ifdef MUT_TWO_MEMBERS
       :: o = 0; p = SERVERS - 1
#endif
       fi;
       d_step {
         voters_of (_pid, set);
         set = set ^ ((1 << o) | (1 << p));
         if
         :: set >> _pid & 1 -> append (_pid, CONFIG + set)
         :: else
         fi;
         o = 0; p = 0; set = 0
       }
     }
#endif

  /* Receives the entries P to N - 1, counted from 0, of the leader of term
     O.  */
  :: atomic { select (o : 1 .. TERMS);
       if
       :: o >= term[_pid] && leader_of[o] != 0 && leader_of[o] != _pid + 1 && sent_len[o] > 0 ->
          select (n : 1 .. sent_len[o]);
          select (p : 0 .. n - 1);
          true;
          d_step {
            if
            :: p <= length[_pid] && PREVIOUS (_pid, o, p) ->
               follow (_pid, o);
               for (i : p .. n - 1) {
                 if
                 :: i < length[_pid] && LOG (_pid, i) == SENT (o, i)
                 :: else ->
                    /* A conflicting entry is removed, with all later ones.  */
                    for (k : i .. LEN - 1) { LOG (_pid, k) = EMPTY }
                    LOG (_pid, i) = SENT (o, i);
                    length[_pid] = i + 1
                 fi
               }
               i = 0; k = 0;
               acknowledge (o, n)
            :: else
            fi
          }
       :: else
       fi;
       o = 0; n = 0; p = 0
     }

  /* Receives a snapshot of the first N entries from the leader of term O.  */
  :: atomic { SNAPSHOTS -> select (o : 1 .. TERMS);
       if
       :: o >= term[_pid] && leader_of[o] != 0 && leader_of[o] != _pid + 1 && sent_commit[o] > 0 ->
          select (n : 1 .. sent_commit[o]);
          true;
          d_step {
            if
            :: TAKES_SNAPSHOT (_pid, o, n) ->
               follow (_pid, o);
               for (i : 0 .. LEN - 1) { LOG (_pid, i) = (i < n -> SENT (o, i) : EMPTY) }
               i = 0;
               length[_pid] = n;
               if
               :: n > commit[_pid] -> apply (_pid, n)
               :: else -> commit[_pid] = n
               fi;
               acknowledge (o, n)
            :: else
            fi
          }
       :: else
       fi;
       o = 0; n = 0
     }

  /* Commit.  */
  :: atomic { role[_pid] == LEADER && commit[_pid] < length[_pid] ->
       select (n : commit[_pid] + 1 .. length[_pid]);
       true;
       d_step {
         voters_of (_pid, set);
         for (i : 0 .. SERVERS - 1) { p = p | ((MATCH (_pid, i) >= n -> 1 : 0) << i) }
         i = 0;
         if
         :: OF_TERM (_pid, n) && MAJORITY (p, set) ->
            for (i : 0 .. n - 1) {
              assert (done[i] == EMPTY || done[i] == LOG (_pid, i)); /* COMMITTED */
              done[i] = LOG (_pid, i);
              done_in[i] = (done_in[i] == 0 || done_in[i] > term[_pid] -> term[_pid] : done_in[i])
            }
            i = 0;
            sent_commit[term[_pid]] = n;
            apply (_pid, n)
         :: else
         fi;
         n = 0; p = 0; set = 0
       }
     }
  :: d_step { role[_pid] == FOLLOWER && leader_of[term[_pid]] != 0 ->
       /* Only entries that match the log of this leader are committed.  */
       n = sent_commit[term[_pid]];
       if
       :: n > commit[_pid] && n <= length[_pid] && LOG (_pid, n - 1) == SENT (term[_pid], n - 1) ->
          apply (_pid, n)
       :: else
       fi;
       n = 0
     }

  /* A read at the leader shows all that was committed in earlier terms.  That no
     later term exists is the concern of the lease.  */
  :: d_step { role[_pid] == LEADER && CURRENT (_pid) ->
       for (i : 0 .. LEN - 1) {
         assert (done[i] == EMPTY || done_in[i] >= term[_pid] || i < commit[_pid]) /* READ */
       }
       i = 0
     }

  /* A leader loses its lease, or receives a higher term.  */
  :: d_step { role[_pid] == LEADER -> resign (_pid) }

  /* Restart: all state that is not durable is lost.  */
  :: d_step { RESTARTS && (role[_pid] != FOLLOWER || commit[_pid] > 0 || voted[_pid] != 0) ->
       resign (_pid);
       commit[_pid] = 0;
#ifdef TICKETS
       number[_pid] = 0;
#endif
#ifdef MUT_VOTE_NOT_SYNCED
       voted[_pid] = 0;
#endif
#ifdef MUT_LOG_NOT_SYNCED
       if
       :: length[_pid] > 0 -> length[_pid]--; LOG (_pid, length[_pid]) = EMPTY
       :: else
       fi;
#endif
     }

#ifdef TICKETS
  /* The follower of the configuration receives the number of this server.  */
  :: d_step { TAKES_NUMBER (_pid) ->
       assert (number[_pid] >= follower); /* FORWARD */
       follower = number[_pid]
     }
#endif
  od
}
