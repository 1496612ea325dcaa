"""Stand-ins for the platform round real agents: discovery, servers, clients and the starting of agents.

Only the standard library is used. Every address is a loopback address with a free port. The stand-ins follow the
users' protocol page; what a case does differently, it says in its claim.
"""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CaseError(Exception):
    """The case could not run; its script exits with 2."""


class Record:
    """The record of what was sent, answered and run; each line begins with the seconds since the start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        """Writes one line."""
        self.file.write(f"{time.monotonic() - self.started:9.4f} {text}\n")
        self.file.flush()


class Message:
    """A request or an answer that was read."""

    def __init__(self, first_line, headers, body):
        self.first_line = first_line
        self.headers = headers
        self.body = body

    @property
    def status(self):
        """The status of an answer."""
        return int(self.first_line.split()[1])

    @property
    def path(self):
        """The path of a request."""
        return self.first_line.split()[1]


async def read_message(reader):
    """Reads a message with a length; None if the peer has ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(lines[0], headers, body)


def answer(status, body=b"", extra=""):
    """The bytes of an answer."""
    return f"HTTP/1.1 {status} Standin\r\n{extra}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Discovery:
    """The service that lists the servers: the whole list, and a watch with an empty line every 2 s."""

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.entries = {}
        self.changes = []  # (revision, entry)
        self.watchers = set()
        self.port = 0
        self.is_silent = False

    async def start(self):
        """Listens on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        """Host and port."""
        return f"127.0.0.1:{self.port}"

    def whole_list(self):
        """The whole list, as an object."""
        return {"rev": self.revision, "all": True, "targets": list(self.entries.values())}

    def change(self, *entries):
        """Changes entries, and tells every watch at once."""
        self.revision += 1
        for entry in entries:
            if entry["state"] == "left":
                self.entries.pop(entry["uid"], None)
            else:
                self.entries[entry["uid"]] = entry
            self.changes.append((self.revision, entry))
            self.record(f"discovery tells rev {self.revision}: {entry['uid']} {entry['state']}")
        for writer in list(self.watchers):
            self.write(writer, {"rev": self.revision, "all": False, "targets": list(entries)})

    @staticmethod
    def write(writer, value):
        """Writes one line of a watch as a chunk."""
        line = (json.dumps(value) if value else "").encode() + b"\n"
        writer.write(b"%x\r\n%b\r\n" % (len(line), line))

    async def serve(self, reader, writer):
        """Serves one connection."""
        try:
            while (request := await read_message(reader)) is not None:
                if "watch=1" not in request.path:
                    writer.write(answer(200, json.dumps(self.whole_list()).encode()))
                    await writer.drain()
                    continue
                after = int(request.path.partition("after=")[2] or 0)
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                if after and after <= self.revision:
                    missed = {e["uid"]: e for revision, e in self.changes if revision > after}
                    first = {"rev": self.revision, "all": False, "targets": list(missed.values())} if missed else None
                else:
                    first = self.whole_list()
                self.write(writer, first)
                self.watchers.add(writer)
                while not writer.is_closing():
                    await writer.drain()
                    await asyncio.sleep(2.0)
                    self.write(writer, None)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.watchers.discard(writer)
            writer.close()


class Backend:
    """A server. `behave(backend, request, run)` is a coroutine that returns the bytes of the answer, or None.

    It calls `run()` when the request has its effect. A request with an id that no client sent is answered 400.
    """

    def __init__(self, uid, record, behave, known_ids=None, zone="a", cell=0):
        self.uid, self.record, self.behave = uid, record, behave
        self.known_ids, self.zone, self.cell = known_ids, zone, cell
        self.ran = []  # (time, id, mark)
        self.received = []  # (time, id)
        self.writers = set()
        self.boot_ms = 0

    async def start(self, port=0):
        """Listens on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, state="active"):
        """The server's entry in the list."""
        return {
            "uid": self.uid, "endpoint": f"127.0.0.1:{self.port}", "az": self.zone, "model": "m",
            "pod_group": self.cell, "state": state, "capacity_hint": 1.0, "boot_ms": self.boot_ms,
        }  # fmt: skip

    async def serve(self, reader, writer):
        """Serves one connection."""
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                id = request.headers.get("x-request-id", "")
                self.received.append((time.monotonic(), id))
                self.record(f"{self.uid} got {request.first_line.rsplit(' ', 1)[0]} id={id}")
                if self.known_ids is not None and id not in self.known_ids:
                    self.record(f"{self.uid} got an id that no client sent: {id!r}")
                    writer.write(answer(400))
                    continue

                def run(id=id, request=request):
                    self.ran.append((time.monotonic(), id, request.headers.get("idempotency-key", "")))
                    self.record(f"{self.uid} RAN id={id}")

                data = await self.behave(self, request, run)
                if data is None:
                    break
                writer.write(data)
                await writer.drain()
                self.record(f"{self.uid} answered id={id} {data[:12]!r}")
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset_all(self):
        """Resets all connections, as a process that dies does."""
        for writer in list(self.writers):
            writer.transport.abort()


def settings(classes, **more):
    """The settings of a small deployment; figures as in the site file of wetland-census."""
    return {
        "areas": ["a", "b"], "az": 0, "myNumber": 0, "groupSize": 3, "discovery": "on_request", "family": "mesh",
        "caps": {"maxShots": 5, "cancel": True, "probes": False, "retryAfter": True, "maxRetryAfterUs": 2000000,
                 "connectTimeoutUs": 250000, "idleCloseUs": 30000000, "secondCopies": True},
        "rules": {"askEveryUs": 10000000, "coldFrom": 0.31, "coldUs": 8800000, "fallUs": 2000000,
                  "overloadFactor": 3.0, "drainGraceUs": 500000, "graceToAnswerUs": 20000},
        "fees": {"crossZone": 0.22}, "workloads": classes,
    } | more  # fmt: skip


# The classes of wetland-census.
READ = {"name": "tally-read", "idempotency": "safe", "goalTimeUs": 600000, "timeLimitUs": 2000000, "importance": 3}
SUBMIT = {
    "name": "sheet-submit", "idempotency": "keyed", "group": "all", "repeatWindowUs": 4000000,
    "goalTimeUs": 1000000, "timeLimitUs": 4000000, "importance": 8,
}  # fmt: skip
CLOSE = {"name": "day-close", "idempotency": "unsafe", "goalTimeUs": 1200000, "timeLimitUs": 6000000, "importance": 3}


class Agent:
    """An agent, started with the `run` command of the deploy file."""

    def __init__(self, name, folder, record, discovery, the_settings, port=None, limits=None, known=(), more=None):
        self.name, self.record, self.folder = name, record, Path(folder) / name
        self.folder.mkdir(parents=True, exist_ok=True)
        self.port = port or free_port()
        self.more = more or {}
        self.config = {
            "name": name, "listen": f"127.0.0.1:{self.port}", "discovery": discovery.address,
            "seed": "8c1f30d27a5be964", "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"rev": 0, "all": True, "targets": list(known)}, "settings": the_settings,
        }  # fmt: skip
        self.process = None

    def start(self, environment=None):
        """Starts the program."""
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config))
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        env = os.environ | {
            "PROXY_CONFIG": str(path), "PROXY_NAME": self.name, "PROXY_LISTEN": self.config["listen"],
            "PROXY_DISCOVERY": self.config["discovery"], "TMPDIR": str(temporary),
        } | self.more | (environment or {})  # fmt: skip
        self.log = open(self.folder / "log", "ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run], cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log
        )
        self.record(f"agent {self.name} started on port {self.port}")

    async def until_ready(self, timeout=20.0):
        """Waits until the agent says that it is ready."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CaseError(f"agent {self.name} ended with {self.process.returncode}")
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n")
                found = await asyncio.wait_for(read_message(reader), 2.0)
                writer.close()
                if found and found.status == 200:
                    return self.record(f"agent {self.name} ready")
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CaseError(f"agent {self.name} not ready")

    def signal(self, number):
        """Sends a signal to the program."""
        self.record(f"{signal.Signals(number).name} to agent {self.name}")
        self.process.send_signal(number)

    def end(self):
        """Ends the program, if it still runs."""
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def free_port():
    """A port of 127.0.0.1 that is free now."""
    import socket

    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def request_bytes(method, path, id, timeout_ms, sid=None, key=None, body=b"", extra=""):
    """The bytes of a client's request."""
    head = f"{method} {path} HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {id}\r\nX-Timeout: {timeout_ms}m\r\n"
    if sid:
        head += f"Cookie: sid={sid}\r\n"
    if key:
        head += f"Idempotency-Key: {key}\r\n"
    if method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    return (head + extra + "\r\n").encode() + body


class Client:
    """A client with one kept connection; it sends one request at a time."""

    def __init__(self, agent, record, name="client"):
        self.agent, self.record, self.name = agent, record, name
        self.reader = self.writer = None

    async def ask(self, data, id, timeout_s, what=""):
        """Sends a request; returns the answer, or None if none came in time."""
        self.record(f"{self.name} sends {what} id={id}")
        try:
            if self.writer is None or self.writer.is_closing() or self.reader.at_eof():
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection("127.0.0.1", self.agent.port), timeout_s
                )
            self.writer.write(data)
            found = await asyncio.wait_for(read_message(self.reader), timeout_s)
        except (OSError, TimeoutError):
            found = None
        self.record(f"{self.name} has {found.status if found else 'NO ANSWER'} for id={id}")
        if found is None or found.headers.get("connection") == "close":
            self.close()
        return found

    def close(self):
        """Closes the connection."""
        if self.writer:
            self.writer.close()
            self.writer = None


def main(path, play):
    """Runs the coroutine `play(record, temporary_folder)`, which returns the list of breaks; the record goes to `path`."""
    import tempfile

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # agents are ended by the cases' `finally`
    record = Record(path)
    record(f"TROUBLE={int(TROUBLE)}")
    with tempfile.TemporaryDirectory() as temporary:
        try:
            breaks = asyncio.run(play(record, temporary))
        except CaseError as error:
            record(f"could not run: {error}")
            print(f"could not run: {error}")
            sys.exit(2)
        except Exception as error:  # noqa: BLE001
            import traceback

            record("could not run: " + traceback.format_exc())
            print(f"could not run: {error!r}")
            sys.exit(2)
    for each in breaks:
        record(f"BROKEN: {each}")
        print(f"BROKEN: {each}")
    record("broken" if breaks else "held")
    print("broken" if breaks else "held")
    sys.exit(1 if breaks else 0)
