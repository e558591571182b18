/* NAME
     figures - medians, spreads, line fits and resource use of benchmarks

   DESCRIPTION
     A benchmark prints lines "name value unit baseline"; the value is a
     median, and lines ending in -min and -max follow.  fig_fit prints the slope
     of a line through measured points with the standard error of the slope;
     with three points, the fit has one degree of freedom.

     Processor time is that of the process or of one thread, because wall-clock
     time depends on what else the machine runs.  Bytes on sockets come from
     the counters that the kernel keeps for every TCP connection.  */

#ifndef ZP_BENCH_FIGURES_H
#define ZP_BENCH_FIGURES_H

#include <linux/tcp.h>
#include <malloc.h>
#include <math.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "base/err.h"
#include "base/limits.h"

#define FIG_FDS_MAX 20000

/* Values of one figure.  */
struct fig_values
{
  double item[1000];
  size_t len;
};

static inline int
fig_compare (const void *a, const void *b)
{
  double x = *(const double *) a, y = *(const double *) b;
  return (x > y) - (x < y);
}

static inline void
fig_add (struct fig_values *v, double x)
{
  if (v->len < sizeof v->item / sizeof v->item[0])
    v->item[v->len++] = x;
}

/* The value below which a share Q of the values lies.  */
static inline double
fig_quantile (struct fig_values *v, double q)
{
  if (v->len == 0)
    return NAN;
  qsort (v->item, v->len, sizeof v->item[0], fig_compare);
  size_t at = (size_t) (q * (double) v->len);
  return v->item[at < v->len ? at : v->len - 1];
}

static inline void
fig_line (const char *name, double value, const char *unit)
{
  printf ("%s %.4g %s -\n", name, value, unit);
}

/* Prints the median, minimum and maximum, and returns the median.  BASELINE
   NAN prints "-".  */
static inline double
fig_print (const char *name, struct fig_values *v, const char *unit,
           double baseline)
{
  double median = fig_quantile (v, 0.5);

  if (isnan (baseline))
    printf ("%s %.4g %s -\n", name, median, unit);
  else
    printf ("%s %.4g %s %.4g\n", name, median, unit, baseline);
  printf ("%s-min %.4g %s -\n", name, fig_quantile (v, 0), unit);
  printf ("%s-max %.4g %s -\n", name, fig_quantile (v, 1), unit);
  fflush (stdout);
  return median;
}

/* Least squares through N points: slope, its standard error, and intercept.
   UNIT is that of the slope, "Y/X".  */
static inline void
fig_fit (const char *name, const double *x, const double *y, size_t n,
         const char *unit)
{
  double mx = 0, my = 0, sxx = 0, sxy = 0, residual = 0;

  for (size_t i = 0; i < n; i++)
    {
      mx += x[i] / (double) n;
      my += y[i] / (double) n;
    }
  for (size_t i = 0; i < n; i++)
    {
      sxx += (x[i] - mx) * (x[i] - mx);
      sxy += (x[i] - mx) * (y[i] - my);
    }
  double slope = sxy / sxx, intercept = my - slope * mx;
  for (size_t i = 0; i < n; i++)
    residual += (y[i] - intercept - slope * x[i])
                * (y[i] - intercept - slope * x[i]);
  double error = n > 2 ? sqrt (residual / (double) (n - 2) / sxx) : NAN;
  printf ("%s-slope %.4g %s -\n", name, slope, unit);
  printf ("%s-slope-error %.4g %s -\n", name, error, unit);
  const char *per = strrchr (unit, '/');
  printf ("%s-intercept %.4g %.*s -\n", name, intercept,
          (int) (per ? per - unit : 1), per ? unit : "-");
  fflush (stdout);
}

/* Processor time in microseconds.  */
static inline double
fig_cpu (clockid_t clock)
{
  struct timespec t;

  clock_gettime (clock, &t);
  return (double) t.tv_sec * 1e6 + (double) t.tv_nsec / 1e3;
}

static inline double
fig_cpu_process (void)
{
  return fig_cpu (CLOCK_PROCESS_CPUTIME_ID);
}

/* Bytes that the process has allocated on the heap.  */
static inline double
fig_heap (void)
{
  struct mallinfo2 m = mallinfo2 ();

  return (double) m.uordblks + (double) m.hblkhd;
}

/* Open TCP connections of the process; one between two sockets of the process
   counts twice.  */
static inline unsigned
fig_connections (void)
{
  unsigned n = 0;

  for (int fd = 3; fd < FIG_FDS_MAX; fd++)
    {
      struct tcp_info info = { .tcpi_state = 0 };
      socklen_t len = sizeof info;
      n += getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &len) == 0
           && info.tcpi_state == 1; /* established */
    }
  return n;
}

/* Payload bytes received so far on all open TCP connections.  */
static inline double
fig_received (void)
{
  double sum = 0;

  for (int fd = 3; fd < FIG_FDS_MAX; fd++)
    {
      struct tcp_info info = { .tcpi_state = 0 };
      socklen_t len = sizeof info;
      if (getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &len) == 0)
        sum += (double) info.tcpi_bytes_received;
    }
  return sum;
}

/* Writes "IP:PORT" with a loopback address that is derived from the process
   id, so that benchmarks can run at the same time.  */
static inline void
fig_address (char out[ZP_ADDRESS_MAX], unsigned port)
{
  unsigned pid = (unsigned) getpid ();

  snprintf (out, ZP_ADDRESS_MAX, "127.%u.%u.%u:%u", 160 + (pid >> 16) % 64,
            (pid >> 8) % 256, 1 + pid % 254, port);
}

static inline void
fig_die (const char *what, const struct zp_err *err)
{
  fprintf (stderr, "%s: %s\n", what, err ? err->text : "failed");
  exit (1);
}

#endif
