/* NAME
     answers - the JSON answers of a control daemon

   DESCRIPTION
     Each function fills status, content type and body of an HTTP answer.
     Long lists are paged: "next" is the last key of the page, to be passed as
     "after" in the request for the next page, or null on the last page.  */

#ifndef ZP_CONTROL_ANSWERS_H
#define ZP_CONTROL_ANSWERS_H

#include "control/shifts.h"
#include "task/msg.h"
#include "ticket/store.h"

/* A page ends after the object that exceeds this size, in bytes.  The largest
   object has 2,000 IPv6 prefixes in less than 100,000 bytes, so a page stays
   below ZP_BODY_MAX.  */
#define CT_PAGE_BYTES (128 * 1024)

struct ct_member
{
  uint64_t id;
  bool voter;
  struct zp_str address;
};

/* The state of this member of the log and of the daemons that follow the
   configuration, for the status answer.  */
struct ct_status_report
{
  uint64_t id;
  const char *role;
  const char *stopped; /* why the member has stopped; NULL: running */
  uint64_t leader;     /* member id; 0: not known */
  uint64_t term, commit, applied;
  const struct ct_member *member;
  size_t members;
  size_t followers; /* daemons that reported in the last minute */
  size_t current;   /* those of them that use the configuration in force */
  const struct ct_shifts *shifts; /* NULL: "reason" of shifts stays empty */
};

/* One error, formatted as by printf.  */
void ct_answer_error (struct tk_http_answer *a, unsigned status,
                      const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));
void ct_answer_errors (struct tk_http_answer *a, unsigned status,
                       const struct zp_report *errors);

/* 307 to "http://ADDRESS/PATH?QUERY"; PATH begins with its slash.  */
void ct_answer_redirect (struct tk_http_answer *a, struct zp_str address,
                         struct zp_str path, struct zp_str query);

/* The result of a command to a ticket; see operators.h for the status.  */
void ct_answer_result (struct tk_http_answer *a, const struct ti_result *r);
void ct_answer_status (struct tk_http_answer *a, const struct ti_store *s,
                       const struct ct_status_report *report);

/* Which objects a page has, and how.  */
struct ct_page
{
  const struct ti_key *after; /* from the one after; NULL: from the first */
  bool keys;                  /* with the keys of workspaces */
};

void ct_answer_config (struct tk_http_answer *a, const struct ti_config *c,
                       const struct ct_page *page);
void ct_answer_diff (struct tk_http_answer *a, const struct ti_config *from,
                     const struct ti_config *to, const struct ct_page *page);

#endif
