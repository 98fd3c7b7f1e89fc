"""A faulty model worker in a process of its own: its answers are bytes that are no answer and come without end, until the caller closes.

Prints the port on which it listens. Writes to standard error what it has sent on each channel. With the argument "sound" it answers with whole streams.
"""

import socket
import sys
import threading
import time

JUNK = b"error\n" * 10000
SOUND_EVENTS = 8


def fields(request):
    lines = request.decode("latin-1").split("\r\n")[1:]
    return {line.split(":", 1)[0].lower(): line.split(":", 1)[1].strip() for line in lines if ":" in line}


def answer(channel, is_sound):
    request = b""
    while b"\r\n\r\n" not in request:
        received = channel.recv(65536)
        if not received:
            return
        request += received
    request_id = fields(request).get("x-request-id", "")
    began = time.monotonic()
    sent = 0
    head = f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\nX-Request-Id: {request_id}\r\nX-Server-Stamp: stamp.faulty\r\n\r\n"
    try:
        channel.sendall(head.encode())
        if is_sound:
            for number in range(SOUND_EVENTS):
                time.sleep(0.03)
                channel.sendall(f"id: {number}\ndata: {request_id} {number}\n\n".encode())
            channel.close()
            return
        while True:
            sent += channel.send(JUNK)
    except OSError:
        pass
    print(f"sent {request_id} {sent} bytes in {time.monotonic() - began:.2f} s until the caller closed", file=sys.stderr, flush=True)


def main():
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(200)
    print(listener.getsockname()[1], flush=True)
    while True:
        channel, _address = listener.accept()
        threading.Thread(target=answer, args=(channel, "sound" in sys.argv[1:]), daemon=True).start()


if __name__ == "__main__":
    main()
