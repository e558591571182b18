/* NAME
     disk - task that writes and syncs files

   DESCRIPTION
     Handles TK_DISK_WRITE in order and answers each with TK_DISK_DONE once
     its bytes are synced.  It blocks, so it runs on a loop of its own thread.

     Appends to one file that wait together share one write and one sync.  A
     replacement is written to NAME.new, synced, renamed, and its folder is
     synced.

   ERRORS
     After a failed sync the kernel may have dropped the dirty pages, so that a
     second sync would succeed without them.  Every write after the first
     failure is therefore answered with the error of that failure.  */

#ifndef ZP_TASK_DISK_H
#define ZP_TASK_DISK_H

#include "base/err.h"
#include "task/task.h"

#define TK_DISK_FILES_MAX 4

struct tk_disk_file
{
  char name[ZP_NAME_MAX];
  int fd; /* open for appending */
};

struct tk_disk
{
  struct tk_task task;
  struct tk_task *reply_to;
  int folder;
  int error;            /* errno value of the first failure */
  int (*sync) (int fd); /* fdatasync; replaced by tests */
  ev_prepare before_sleep;
  struct tk_msg *head, *tail; /* writes not done yet */
  struct tk_disk_file file[TK_DISK_FILES_MAX];
  size_t files;
};

/* FOLDER has to exist.  Answers go to REPLY_TO.  */
bool tk_disk_init (struct tk_disk *d, struct tk_loop *l, struct zp_str folder,
                   struct tk_task *reply_to, struct zp_err *err);

/* Called after the loop has ended; waiting writes are dropped.  */
void tk_disk_free (struct tk_disk *d);

#endif
