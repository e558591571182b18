#include "task/signals.h"

#include <pthread.h>
#include <signal.h>
#include <stddef.h>

static void
change_mask (int how)
{
  sigset_t set;

  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  sigaddset (&set, SIGHUP);
  pthread_sigmask (how, &set, NULL);
}

void
tk_signals_hold (void)
{
  change_mask (SIG_BLOCK);
}

void
tk_signals_release (void)
{
  change_mask (SIG_UNBLOCK);
}
