"""Clients that send at full speed and read whatever comes back: one connection, 32 requests at a time, each with a new id.

Arguments: the front's port, the seconds, the number of the connection, and what they say for Req-Wait-Ms. Prints how many
requests were answered, how many of them were served, and how many were lost.
"""

import signal
import socket
import struct
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "harness-2"))
from rig import pairs, record_bytes

port, seconds, number, wait = int(sys.argv[1]), float(sys.argv[2]), int(sys.argv[3]), sys.argv[4]
REQUESTS = 32


def batch():
    """The bytes of 32 requests, and where in them the ids stand."""
    data, places = b"", []
    for request in range(1, REQUESTS + 1):
        fields = [("SCRIPT_NAME", "/do/font-css"), ("HTTP_REQ_ID", "#" * 16), ("HTTP_REQ_WAIT_MS", wait),
                  ("HTTP_REQ_KEY", f"{0x7f3a9c21e0b40000 + request:016x}"), ("HTTP_X_SEG", "0"),
                  ("HTTP_X_BUCKET", str(request)), ("HTTP_REQ_KB", "1.0")]
        one = record_bytes(1, request, struct.pack(">HB5x", 1, 1)) + record_bytes(4, request, pairs(fields))
        one += record_bytes(4, request, b"") + record_bytes(5, request, b"")
        places.append(len(data) + one.index(b"#" * 16))
        data += one
    return bytearray(data), places




def told_to_end(*_):
    raise ConnectionError("told to end")


signal.signal(signal.SIGTERM, told_to_end)
data, places = batch()
sent = answered = served = 0
stream = socket.create_connection(("127.0.0.1", port), timeout=20)
stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
deadline, held = time.time() + seconds, b""
try:
    while time.time() < deadline:
        for place in places:
            sent += 1
            data[place:place + 16] = b"%016x" % (number << 40 | sent)
        stream.sendall(data)
        ended = 0
        while ended < REQUESTS:
            piece = stream.recv(262144)
            if not piece:
                raise ConnectionError
            held, place = held + piece, 0
            while len(held) - place >= 8:
                length = held[place + 4] << 8 | held[place + 5]
                following = place + 8 + length + held[place + 6]
                if following > len(held):
                    break
                kind = held[place + 1]
                if kind == 3:
                    ended += 1
                elif kind == 6 and held.startswith(b"Status: 200", place + 8):
                    served += 1
                place = following
            held = held[place:]
        answered += REQUESTS
except OSError:
    pass
print(f"sent {sent}, answered {answered}, served {served}", flush=True)
