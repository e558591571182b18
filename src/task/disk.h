/* NAME
     disk - task that writes and syncs files

   DESCRIPTION
     Carries out each TK_DISK_WRITE in order and answers it with TK_DISK_DONE
     once its bytes are synced.  It blocks, so it runs on a loop of its own.

     Consecutive appends to one file that are in the queue together share one
     write and one sync.  A replacement is written to NAME.new and synced; the
     file is then renamed to NAME and the folder is synced.

   ERRORS
     After a failed sync the kernel may have dropped the dirty pages, so that a
     second sync would succeed without them.  So the failed write and all later
     ones are answered with its errno value, up to a replacement that has RETRY
     set: its sender knows of the failure and writes the whole file anew.  */

#ifndef ZP_TASK_DISK_H
#define ZP_TASK_DISK_H

#include "base/err.h"
#include "task/task.h"

#define TK_DISK_FILES_MAX 4 /* open for appending at once */

struct tk_disk_file
{
  char name[ZP_NAME_MAX];
  int fd; /* open for appending */
};

struct tk_disk
{
  struct tk_task task;
  struct tk_task *reply_to;
  int folder;           /* file descriptor */
  int error;            /* errno value of the last failure; 0: none */
  int (*sync) (int fd); /* fdatasync; replaced by tests */
  ev_prepare before_sleep;
  struct tk_msg *head, *tail; /* queue of writes */
  struct tk_disk_file file[TK_DISK_FILES_MAX];
  size_t files;
};

/* Opens FOLDER, which has to exist.  Answers go to REPLY_TO.  */
bool tk_disk_init (struct tk_disk *d, struct tk_loop *l, struct zp_str folder,
                   struct tk_task *reply_to, struct zp_err *err);

/* Drops the writes in the queue.  The loop must not run any more.  */
void tk_disk_free (struct tk_disk *d);

#endif
