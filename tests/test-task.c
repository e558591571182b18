#include "harness.h"

#include "task/task.h"

#define MESSAGES 10000

/* A task that counts messages and forwards them to REPLY_TO, if set.  */
struct echo
{
  struct tk_task task;
  struct tk_task *reply_to;
  struct tk_loop *stop_when_done;
  uint64_t next; /* id of the message expected next */
  int out_of_order;
};

static void
on_message (void *self, struct tk_msg *m)
{
  struct echo *e = self;

  if (m->u.caller_left.id != e->next)
    e->out_of_order++;
  e->next++;
  if (e->reply_to)
    tk_send (e->reply_to, m);
  else
    tk_msg_free (m);
  if (e->stop_when_done && e->next == MESSAGES)
    tk_loop_stop (e->stop_when_done);
}

/* Guards against messages between threads that are lost, duplicated or out of
   order.  */
static void
test_messages_arrive_once_in_order (void)
{
  struct tk_loop a, b;
  struct echo here = { .stop_when_done = &a };
  struct echo there = { .reply_to = &here.task };

  tk_loop_init (&a);
  tk_loop_init (&b);
  tk_task_init (&here.task, &a, on_message, &here);
  tk_task_init (&there.task, &b, on_message, &there);
  tk_loop_start (&b);
  for (uint64_t i = 0; i < MESSAGES; i++)
    {
      struct tk_msg *m = tk_msg_new (TK_CALLER_LEFT);
      m->u.caller_left.id = i;
      tk_send (&there.task, m);
    }
  tk_loop_run (&a);
  tk_loop_stop (&b);
  tk_loop_join (&b);
  CU_ASSERT_EQUAL (here.next, MESSAGES);
  CU_ASSERT_EQUAL (there.next, MESSAGES);
  CU_ASSERT_EQUAL (here.out_of_order + there.out_of_order, 0);
  tk_task_free (&here.task);
  tk_task_free (&there.task);
  tk_loop_free (&a);
  tk_loop_free (&b);
}

/* Guards against a memory leak: messages that the task has not handled when it
   is freed.  */
static void
test_unread_messages_are_freed (void)
{
  struct tk_loop l;
  struct echo e = { .next = 0 };

  tk_loop_init (&l);
  tk_task_init (&e.task, &l, on_message, &e);
  struct tk_msg *m = tk_msg_new (TK_HTTP_ANSWER);
  zp_buf_put (&m->u.answer.body, ZP_STR ("unread"));
  tk_send (&e.task, m);
  tk_task_free (&e.task);
  tk_loop_free (&l);
  CU_ASSERT_EQUAL (e.next, 0);
}

static const struct zp_test tests[]
    = { { "messages arrive once, in order",
          test_messages_arrive_once_in_order },
        { "unread messages are freed", test_unread_messages_are_freed } };

TEST_MAIN ("task", tests)
