"""A cache, or the origin, that has every object and answers at once. Prints its port. One request at a time on a connection."""

import socket
import sys
import threading

ANSWER = (b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\nTag: 4be0c1927d55a6f3\r\nMade-At: %d\r\nDetail: h\r\n\r\n"
          b"0123456789abcdefghij" % int(sys.argv[1]))


def serve(stream):
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        while data := stream.recv(65536):
            while not data.endswith(b"\r\n\r\n"):
                data += stream.recv(65536)
            stream.sendall(ANSWER)
    except OSError:
        pass


listener = socket.create_server(("127.0.0.1", 0), backlog=512)
print(listener.getsockname()[1], flush=True)
while True:
    accepted, _ = listener.accept()
    threading.Thread(target=serve, args=(accepted,), daemon=True).start()
