"""Stand-ins for the cases 6 to 10: servers, a discovery service, a client, and the agent as a process.

Servers and discovery run in the event loop of the test, each on a loopback port of its own. They follow the
users' pages; what a case wants of them beyond that it sets on them. Times are seconds of the monotonic clock,
and each record names them relative to the start of the case.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]


def run_command():
    """The command `run` of the deploy file."""
    import tomllib

    return tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Record:
    """Writes record.txt and keeps the lines that the check reads."""

    def __init__(self, path):
        self.start, self.file, self.events = time.monotonic(), open(path, "w", buffering=1), []

    def now(self):
        return time.monotonic() - self.start

    def add(self, who, what, **fields):
        at = self.now()
        self.events.append((at, who, what, fields))
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{at:8.3f} {who:12} {what:12} {text}\n")
        return at

    def note(self, text):
        self.file.write(f"# {text}\n")


async def read_message(reader):
    """Reads one HTTP/1.1 message; (first line, headers, body, time of the first byte), or None at the end."""
    first = await reader.read(1)
    if not first:
        return None
    began = time.monotonic()
    head = first + await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body, began


class Server:
    """A server. It runs a request when its last byte has come, and answers after its service time.

    `dedup` (shared by a group) remembers the keys of deduplicated requests for `window` seconds from the run;
    a repeat within that time is answered like the first one and not run again.
    `behave(server, request)` may return "hang" (the request runs, no answer comes), "reset" (it runs, the
    connection breaks), "full" (turned away) or None.
    """

    def __init__(self, record, name, zone="a", cell=0, service_s=0.05, dedup=None, window=4.0):
        self.record, self.name, self.zone, self.cell, self.service_s = record, name, zone, cell, service_s
        self.dedup, self.window = ({} if dedup is None else dedup), window
        self.state, self.boot_ms, self.weight = "active", 0, 1.0
        self.behave, self.open_writers, self.server, self.port = (lambda server, request: None), set(), None, 0
        self.is_silent = False  # whether probes get no answer
        self.runs = []  # (time, id, key, path)
        self.tasks = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port or self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self):
        return {
            "uid": self.name,
            "endpoint": f"127.0.0.1:{self.port}",
            "az": self.zone,
            "model": "std",
            "pod_group": self.cell,
            "state": self.state,
            "capacity_hint": self.weight,
            "boot_ms": self.boot_ms,
        }

    async def serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.open_writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                if not await self.handle(message, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.open_writers.discard(writer)
            writer.close()

    async def handle(self, message, reader, writer):
        line, headers, body, began = message
        method, path, _ = line.split(" ", 2)
        ident, key = headers.get("x-request-id", ""), headers.get("idempotency-key", "")
        if path == "/health/live":  # a probe: the settings allow them
            if self.is_silent:
                await reader.read()
                return False
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return True
        if not ident:
            writer.write(b"HTTP/1.1 404 N\r\nContent-Length: 0\r\n\r\n")
            return True
        request = {"id": ident, "key": key, "method": method, "path": path, "began": began - self.record.start}
        action = self.behave(self, request)
        at = self.record.now()
        fields = {"id": ident, "told": headers.get("x-timeout", ""), "first": f"{request['began']:.3f}"}
        if key:
            fields["key"] = key
        if action == "full":
            self.record.add(self.name, "turned away", **fields)
            writer.write(b"HTTP/1.1 503 F\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        for old in [each for each, ran in self.dedup.items() if at > ran + self.window]:
            del self.dedup[old]
        if key and key in self.dedup:
            self.record.add(self.name, "repeat", **fields)
        else:
            if key:
                self.dedup[key] = at
            self.record.add(self.name, "run", **fields)
            self.runs.append((at, ident, key, path))
        if action == "hang":
            await reader.read()  # until the agent gives the attempt up
            self.record.add(self.name, "given up", id=ident)
            return False
        if action == "reset":
            reset(writer)
            return False
        if callable(action):
            return await action(self, request, body, reader, writer)
        await asyncio.sleep(self.service_s)
        answer = self.body_for(ident, body)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(answer) + answer)
        await writer.drain()
        return True

    @staticmethod
    def body_for(ident, body):
        return b"answer to " + ident.encode() + b" " + body

    async def stop(self):
        """Ends as a process that dies does: connections are reset, new ones refused."""
        self.server.close()
        for writer in list(self.open_writers):
            reset(writer)


def reset(writer):
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Discovery:
    """The discovery service. `change` tells the open watches; `told` has when each was written, by server."""

    def __init__(self, record, servers):
        self.record, self.servers, self.rev, self.log = record, servers, 1, []
        self.watches, self.server, self.port = {}, None, 0
        self.answer_delay_s, self.is_silent = 0.0, False

    def whole(self):
        entries = [each.entry() for each in self.servers if each.state == "active" or each.state == "leaving"]
        return {"rev": self.rev, "all": True, "targets": entries}

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port or self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                path = message[0].split(" ")[1]
                self.record.add("discovery", "called", path=path)
                await asyncio.sleep(self.answer_delay_s)
                if "watch=1" in path:
                    await self.watch(path, reader, writer)
                    return
                text = json.dumps(self.whole()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.watches.pop(writer, None)
            writer.close()

    async def watch(self, path, reader, writer):
        after = int(path.rpartition("after=")[2] or 0)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches[writer] = True
        if after == self.rev:
            self.send(writer, b"\n")
        else:
            self.send(writer, json.dumps(self.whole()).encode() + b"\n")
            self.record.add("discovery", "told", rev=self.rev, whole=True)
        while not reader.at_eof():
            try:
                if not await asyncio.wait_for(reader.read(1), 2.0):
                    return
            except TimeoutError:
                if self.watches.get(writer):
                    self.send(writer, b"\n")

    def send(self, writer, line):
        writer.write(b"%x\r\n%b\r\n" % (len(line), line))

    def change(self, server, **values):
        """Changes a server's entry and tells all open watches that are not silent."""
        for name, value in values.items():
            setattr(server, name, value)
        self.rev += 1
        line = {"rev": self.rev, "all": False, "targets": [server.entry()]}
        self.record.add("discovery", "change", server=server.name, **values)
        for writer, works in list(self.watches.items()):
            if works:
                self.send(writer, json.dumps(line).encode() + b"\n")
                self.record.add("discovery", "told", rev=self.rev)

    def silence_watches(self):
        """Lets the open watches fall silent: they stay open and bring nothing more."""
        for writer in self.watches:
            self.watches[writer] = False

    async def stop(self):
        self.server.close()
        for writer in list(self.watches):
            reset(writer)
        self.watches.clear()


class Agent:
    """An agent, started with the command of the deploy file."""

    def __init__(self, record, folder, name, settings, discovery, limits=None, environment=None, known=None):
        self.record, self.name, self.port, self.process = record, name, free_port(), None
        self.path = folder / f"{name}.json"
        self.config = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery.port}",
            "seed": "1",
            "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known or {"rev": 0, "all": True, "targets": []},
            "settings": settings,
        }
        self.log_path, self.environment = folder / f"{name}.log", environment or {}
        self.write_config()

    def write_config(self, **changes):
        self.config |= changes
        temporary = self.path.with_suffix(".new")
        temporary.write_text(json.dumps(self.config))
        os.replace(temporary, self.path)

    async def start(self):
        environment = os.environ | self.environment
        environment |= {"PROXY_CONFIG": str(self.path), "TMPDIR": str(self.path.parent)}
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run_command(), cwd=ROOT, env=environment, stdout=log, stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )
        self.record.add(self.name, "started", pid="...", port=self.port)
        for _ in range(300):
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}")
            if await self.is_ready():
                self.record.add(self.name, "ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready after 30 s")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(b"GET /health/ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 2.0)
            writer.close()
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    def signal(self, number):
        self.record.add(self.name, "signal", number=signal.Signals(number).name)
        self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is not None:
            last_lines = self.log_path.read_text(errors="replace").splitlines()[-5:]
            self.record.note(f"{self.name} had ended with {self.process.returncode}; its last lines: {last_lines}")
        if self.process and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.terminate()
                await asyncio.wait_for(self.process.wait(), 8.0)
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
            except ProcessLookupError:
                pass


class CannotRun(Exception):
    """The case could not be run."""


class Client:
    """A client: one request at a time on a connection, kept connections, more when all are busy."""

    def __init__(self, record, agent, name="client"):
        self.record, self.agent, self.name, self.idle, self.count = record, agent, name, [], 0
        self.results = []  # dicts

    async def connect(self):
        while self.idle:
            reader, writer = self.idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer, True
            writer.close()
        reader, writer = await asyncio.open_connection("127.0.0.1", self.agent.port)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return reader, writer, False

    async def send(self, workload, timeout_ms, key="", sid="", method=None, body=b"", retried=False, ident="",
                   leave_after_s=None, patience_s=None):
        """Sends one request and waits for its answer; returns a dict of what came."""
        self.count += 1
        ident = ident or f"{self.name}-{self.count}"
        method = method or ("POST" if key or body else "GET")
        head = f"{method} /{workload}/{sid or 'x'} HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {ident}\r\n"
        head += f"X-Timeout: {timeout_ms}m\r\n"
        head += f"Cookie: sid={sid}\r\n" * bool(sid) + f"Idempotency-Key: {key}\r\n" * bool(key)
        head += "X-Retried: 1\r\n" * retried
        if method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        data = head.encode() + b"\r\n" + body
        result = {"id": ident, "workload": workload, "key": key, "timeout_s": timeout_ms / 1e3, "status": 0,
                  "left": False, "body": b"", "retry_after": 0.0, "sent_body": body}
        self.results.append(result)
        for _ in range(2):  # once more on a new connection if the agent ended a resting one
            try:
                reader, writer, reused = await self.connect()
            except OSError as error:
                result["error"] = f"unreachable: {error}"
                self.record.add(self.name, "unreachable", id=ident)
                return result
            result["sent"] = self.record.add(self.name, "sends", id=ident, timeout=f"{timeout_ms}m",
                                             **({"key": key} if key else {}), **({"retried": 1} if retried else {}))
            try:
                writer.write(data)
                await writer.drain()
                wait = patience_s or timeout_ms / 1e3 + 2.0
                message = await asyncio.wait_for(read_message(reader), leave_after_s or wait)
            except TimeoutError:
                result["left"] = leave_after_s is not None
                result["error"] = "left" if result["left"] else "no answer"
                result["at"] = self.record.add(self.name, result["error"], id=ident)
                writer.close()
                return result
            except (OSError, asyncio.IncompleteReadError) as error:
                message, result["error"] = None, f"broken: {error!r}"
            if message is None:
                writer.close()
                if reused and not result.get("retried_once"):
                    result["retried_once"] = True
                    continue
                result["at"] = self.record.add(self.name, "closed", id=ident)
                result.setdefault("error", "closed")
                return result
            line, headers, answer, _ = message
            result["status"], result["body"] = int(line.split(" ")[1]), answer
            result["retry_after"] = float(headers.get("retry-after", 0))
            fields = {"retry_after": headers["retry-after"]} if "retry-after" in headers else {}
            result["at"] = self.record.add(self.name, "answered", id=ident, status=result["status"], **fields)
            if headers.get("connection", "").lower() == "close":
                writer.close()
            else:
                self.idle.append((reader, writer))
            return result
        return result

    def close(self):
        for _, writer in self.idle:
            writer.close()


def settings(classes, **changes):
    """The settings of a small deployment like wetland-census: three zones, asked-for lists."""
    base = {
        "areas": ["a", "b", "c"], "az": 0, "myNumber": 0, "groupSize": 1, "discovery": "on_request",
        "family": "mesh", "weightKind": "nominal", "feedback": {"how": "none", "columns": []},
        "caps": {"maxShots": 5, "cancel": True, "probes": True, "retryAfter": True, "maxRetryAfterUs": 2000000,
                 "secondCopies": False, "connectTimeoutUs": 250000, "idleCloseUs": 60000000, "peers": False},
        "rules": {"askEveryUs": 10000000, "coldFrom": 0.31, "coldUs": 8800000, "fallUs": 2000000,
                  "overloadFactor": 3.0, "drainGraceUs": 500000, "graceToAnswerUs": 70000},
        "fees": {"crossZone": 0.22, "probe": 0.01},
        "workloads": classes,
        "tenants": [],
    }
    for name, value in changes.items():
        base[name] = base[name] | value if isinstance(value, dict) else value
    return base


READ = {"name": "tally-read", "idempotency": "safe", "goalTimeUs": 600000, "timeLimitUs": 2000000, "importance": 3}
SUBMIT = {"name": "sheet-submit", "idempotency": "keyed", "group": "all", "repeatWindowUs": 4000000,
          "goalTimeUs": 1000000, "timeLimitUs": 4000000, "importance": 8}
CLOSE = {"name": "day-close", "idempotency": "unsafe", "goalTimeUs": 1200000, "timeLimitUs": 6000000,
         "importance": 3}


def main(case_file, case):
    """Runs `case(record, folder, trouble)`, which returns the list of breaks, and exits with 0, 1 or 2."""
    import sys

    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = Path(tempfile.mkdtemp(prefix="cartdeal-case-"))
    record = Record(Path(case_file).resolve().parent / "record.txt")
    record.note(f"trouble: {'yes' if trouble else 'no'}")
    code = 2

    async def limited():
        return await asyncio.wait_for(case(record, folder, trouble), 110.0)

    def stop(*_):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, stop)
    try:
        breaks = asyncio.run(limited())
        for each in breaks:
            record.note(f"BROKEN: {each}")
            print(f"broken: {each}")
        record.note(f"verdict: {'broken' if breaks else 'held'}")
        print("the rule was broken" if breaks else "the rule held")
        code = 1 if breaks else 0
    except CannotRun as error:
        record.note(f"could not run: {error}")
        print(f"could not run: {error}")
    except (TimeoutError, OSError, KeyboardInterrupt, asyncio.CancelledError) as error:
        record.note(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    finally:
        sys.unraisablehook = lambda *_: None  # of streams that are collected after the loop has ended
        if os.environ.get("KEEP"):
            print(folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    sys.exit(code)
