/* NAME
     frame - format of the frames of the inner protocol

   DESCRIPTION
     A frame is a header of 8 bytes and a payload:

       bytes 0-3  payload length, big endian
       byte  4    protocol version
       byte  5    kind (enum wi_kind)
       bytes 6-7  reserved, zero

     The payload is one protobuf message; its type depends on the kind and is
     defined in the .proto files of this folder.  The header is checked before
     memory is allocated for the payload.  */

#ifndef ZP_WIRE_FRAME_H
#define ZP_WIRE_FRAME_H

#include "base/err.h"

#define WI_VERSION 1
#define WI_HEADER_SIZE 8 /* bytes */

/* The numbers are part of the protocol.  When a kind is removed, its number is
   not used again.  */
enum wi_kind
{
  /* peer.proto */
  WI_HELLO = 1,
  WI_HEARTBEAT = 2,
  WI_SERVER_VIEW = 3,
  WI_LEASE_ASK = 10,
  WI_LEASE_GRANT = 11,
  WI_LEASE_RETURN = 12,
  WI_HANDOVER = 13,
  WI_POISON = 14,
  WI_LINK_REPORT = 15,
  WI_LINK_ASK = 16,
  WI_LINK_GRANT = 17,

  /* once.proto */
  WI_CLAIM = 20,
  WI_CLAIM_ANSWER = 21,
  WI_RECORD = 22,
  WI_SEAL = 23,

  /* ledger.proto */
  WI_VOTE_ASK = 40,
  WI_VOTE_ANSWER = 41,
  WI_APPEND = 42,
  WI_APPEND_ANSWER = 43,
  WI_SNAPSHOT = 44,
  WI_SNAPSHOT_ANSWER = 45,
  WI_PROPOSAL = 46, /* to the leader: a command of the ticket store */

  /* follow.proto */
  WI_FOLLOW = 60,
  WI_FOLLOW_DELTA = 61,
  WI_FOLLOW_SNAPSHOT = 62,
  WI_FOLLOW_REPORT = 63,
  WI_FOLLOW_PING = 64,

  /* roster.proto */
  WI_ROSTER_HELLO = 70,
  WI_ROSTER_UPDATE = 71,
  WI_ROSTER_ACK = 72,
  WI_ROSTER_PING = 73,
  WI_ROSTER_WORK = 74,
  WI_ROSTER_LOSS = 75,
  WI_ROSTER_QUOTA_ASK = 76,
  WI_ROSTER_QUOTA_GRANT = 77,
};

struct wi_header
{
  uint32_t len;
  uint8_t kind;
};

/* Appends a whole frame to OUT.  PAYLOAD must not exceed ZP_FRAME_MAX.  */
void wi_frame_put (struct zp_buf *out, uint8_t kind, struct zp_str payload);

enum wi_parse
{
  WI_PARSE_MORE,  /* BYTES does not hold a whole frame yet */
  WI_PARSE_FRAME, /* KIND, PAYLOAD and USED are set */
  WI_PARSE_BAD,   /* invalid frame; ERR has the reason */
};

/* Parses the first frame of BYTES.  PAYLOAD becomes a view into BYTES, and
   USED the size of the whole frame.  */
enum wi_parse wi_frame_parse (struct zp_str bytes, uint8_t *kind,
                              struct zp_str *payload, size_t *used,
                              struct zp_err *err);

#endif
