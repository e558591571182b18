/* NAME
     http-client - closed loop of HTTP requests over persistent connections

   SYNOPSIS
     http-client ADDRESS TARGET CONNECTIONS SECONDS [HEADER]

   DESCRIPTION
     Each connection sends a request, waits for the whole answer and sends the
     next one, for SECONDS.  "%" in TARGET and HEADER becomes the number of the
     request, so that every request can have its own key.  The first tenth of
     the time is a warm-up and is not counted.

     Prints one line "requests ok rate p50_us p99_us"; OK counts answers with
     status 200, RATE is requests a second.  Latencies include the processor
     time of libcurl in this process, which is the same for every server.
     bench/measure-entry.sh measures zp-entry with it and, for the baseline,
     zp-backend directly.  */

#include <curl/curl.h>

#include "figures.h"

#define CONNECTIONS_MAX 256
#define SAMPLES_MAX 2000000

struct call
{
  CURL *easy;
  struct curl_slist *headers;
  zp_time begin;
};

static const char *address, *target, *header;
static CURLM *multi;
static unsigned long number;
static zp_time count_from; /* end of the warm-up */
static float *sample;
static size_t samples, ok;

static size_t
drop (char *bytes, size_t size, size_t n, void *unused)
{
  (void) bytes;
  (void) unused;
  return size * n;
}

/* Writes TEXT with the number of the request in place of "%".  */
static void
put_numbered (struct zp_buf *out, const char *text)
{
  struct zp_str head, tail;

  if (zp_str_split (zp_str_from (text), '%', &head, &tail))
    zp_buf_printf (out, "%.*s%lu%.*s", ZP_ARG (head), number, ZP_ARG (tail));
  else
    zp_buf_put (out, head);
}

static void
start (struct call *c)
{
  struct zp_buf url = { .ptr = NULL }, line = { .ptr = NULL };

  number++;
  zp_buf_printf (&url, "http://%s", address);
  put_numbered (&url, target);
  curl_easy_setopt (c->easy, CURLOPT_URL, url.ptr);
  curl_slist_free_all (c->headers);
  c->headers = curl_slist_append (NULL, "Deadline-Ms: 2000");
  if (header)
    {
      put_numbered (&line, header);
      c->headers = curl_slist_append (c->headers, line.ptr);
    }
  curl_easy_setopt (c->easy, CURLOPT_HTTPHEADER, c->headers);
  c->begin = zp_clock_mono ();
  curl_multi_add_handle (multi, c->easy);
  zp_buf_free (&url);
  zp_buf_free (&line);
}

static void
finish (struct call *c)
{
  long status = 0;
  zp_time now = zp_clock_mono ();

  curl_easy_getinfo (c->easy, CURLINFO_RESPONSE_CODE, &status);
  curl_multi_remove_handle (multi, c->easy);
  if (c->begin < count_from || samples == SAMPLES_MAX)
    return;
  sample[samples++] = (float) (now - c->begin);
  ok += status == 200;
}

static int
compare (const void *a, const void *b)
{
  float x = *(const float *) a, y = *(const float *) b;
  return (x > y) - (x < y);
}

static void
open_call (struct call *c)
{
  c->easy = curl_easy_init ();
  curl_easy_setopt (c->easy, CURLOPT_WRITEFUNCTION, drop);
  curl_easy_setopt (c->easy, CURLOPT_PRIVATE, c);
  curl_easy_setopt (c->easy, CURLOPT_TIMEOUT_MS, 5000L);
  curl_easy_setopt (c->easy, CURLOPT_NOSIGNAL, 1L);
  start (c);
}

int
main (int argc, char **argv)
{
  static struct call calls[CONNECTIONS_MAX];
  int running, left;
  CURLMsg *m;

  if (argc < 5)
    {
      fprintf (stderr, "usage: http-client ADDRESS TARGET CONNECTIONS SECONDS "
                       "[HEADER]\n");
      return 2;
    }
  address = argv[1];
  target = argv[2];
  int count = atoi (argv[3]);
  zp_time length = (zp_time) (atof (argv[4]) * 1e6);
  header = argc > 5 ? argv[5] : NULL;
  if (count < 1 || count > CONNECTIONS_MAX || length > 60 * ZP_SEC)
    fig_die (
        "http-client: CONNECTIONS is not 1 to 256, or SECONDS is above 60",
        NULL);
  sample = zp_alloc (SAMPLES_MAX * sizeof *sample);
  multi = curl_multi_init ();
  curl_multi_setopt (multi, CURLMOPT_MAXCONNECTS, (long) count);
  zp_time end = zp_clock_mono () + length;
  count_from = end - length * 9 / 10;
  for (int i = 0; i < count; i++)
    open_call (&calls[i]);
  while (zp_clock_mono () < end)
    {
      curl_multi_perform (multi, &running);
      while ((m = curl_multi_info_read (multi, &left)))
        {
          char *call;
          curl_easy_getinfo (m->easy_handle, CURLINFO_PRIVATE, &call);
          finish ((struct call *) (void *) call);
          start ((struct call *) (void *) call);
        }
      curl_multi_poll (multi, NULL, 0, 100, NULL);
    }
  qsort (sample, samples, sizeof *sample, compare);
  if (samples == 0)
    fig_die ("http-client: no answer after the warm-up", NULL);
  printf ("%zu %zu %.1f %.1f %.1f\n", samples, ok,
          (double) samples * 1e6 / ((double) length * 0.9),
          (double) sample[samples / 2], (double) sample[samples * 99 / 100]);
  for (int i = 0; i < count; i++)
    {
      curl_multi_remove_handle (multi, calls[i].easy);
      curl_easy_cleanup (calls[i].easy);
      curl_slist_free_all (calls[i].headers);
    }
  curl_multi_cleanup (multi);
  free (sample);
  return 0;
}
