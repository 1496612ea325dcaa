"""Agents of a soak: real processes, told to end, killed, paused, reloaded and started anew."""

import json
import os
import re
import signal
import sys

import gevent
from gevent import subprocess

from cartdeal.rig.faulty_agent import FAULTS
from cartdeal.rig.soak.judge import Rule
from cartdeal.rig.soak.relay import HOST

READY = 20.0  # seconds that a start may take
ENDS = 3.0 + 0.7  # seconds after SIGTERM in which an agent has to be gone: it is killed then
PAUSE_SHOWS = 3.0  # seconds after a pause in which what it made late may be answered
PORT = re.compile(rb"msg=serving .*\bport=(\d+)")
SETTINGS = {
    "areas": ["a", "b"],
    "discovery": "pushed",
    "caps": {
        "maxShots": 3,
        "cancel": True,
        "retryAfter": True,
        "maxRetryAfterUs": 500000,
        "connectTimeoutUs": 250000,
        "idleCloseUs": 10000000,
    },
    "rules": {"askEveryUs": 10000000, "coldFrom": 0.2, "coldUs": 5000000, "fallUs": 1000000},
    "workloads": [
        {"name": "read", "idempotency": "safe", "goalTimeUs": 500000, "timeLimitUs": 2000000},
        {
            "name": "mark",
            "idempotency": "keyed",
            "group": "zone",
            "repeatWindowUs": 2000000,
            "goalTimeUs": 500000,
            "timeLimitUs": 2000000,
        },
        {"name": "once", "idempotency": "unsafe", "goalTimeUs": 500000, "timeLimitUs": 2000000},
    ],
}


class Agent:
    """One agent and its lives. `port` is 0 while it takes no connections."""

    def __init__(self, soak, number: int, faults: str | None):
        """`faults`: what AGENT_FAULTS is to say, for one whose system calls fail; None for none."""
        self.soak, self.number, self.faults = soak, number, faults
        self.process, self.port, self.lives = None, 0, 0
        self.killed_at, self.paused_until = [], 0.0
        self.log, self.reads_log = [], True
        self.file = soak.folder / f"agent-{number}.json"

    def was_killed_since(self, at: float) -> bool:
        return any(killed >= at for killed in self.killed_at)

    def was_paused_since(self, at: float) -> bool:
        return self.paused_until >= at

    def write_configuration(self, discovery: str):
        settings = SETTINGS | {"az": self.number % 2, "myNumber": self.number, "groupSize": self.soak.size}
        known = {"rev": 1, "all": True, "targets": list(self.soak.discovery.entries.values())}
        found = {
            "name": f"n{self.number}",
            "listen": f"{HOST}:0",
            "discovery": discovery,
            "seed": f"{self.soak.seed * 1000 + self.number * 10 + self.lives:x}",
            "limits": {"memory_mb": 64, "sockets": 256},
            "known": known,
            "settings": settings,
        }
        draft = self.file.with_suffix(".draft")
        draft.write_text(json.dumps(found))
        draft.replace(self.file)

    def start(self):
        self.lives += 1
        self.write_configuration(self.soak.discovery_relays[0].address)
        module = "cartdeal.rig.faulty_agent" if self.faults else "cartdeal"
        environment = {**os.environ, "PROXY_CONFIG": str(self.file), FAULTS: self.faults or ""}
        self.process = subprocess.Popen(
            [sys.executable, "-m", module], stderr=subprocess.PIPE, env=environment, start_new_session=True
        )
        process, found = self.process, None
        with gevent.Timeout(READY, False):
            while not (found := PORT.search(line := process.stderr.readline())):
                self.log.append(line)
                if not line:
                    break
        if not found:
            return self.soak.judge.break_(Rule.CRASH, self.soak.now(), self.name, "it did not come up")
        self.port = int(found[1])
        gevent.spawn(self.drain_log, process)
        return None

    @property
    def name(self) -> str:
        return f"agent {self.number}, life {self.lives}"

    def drain_log(self, process):
        name, judge = self.name, self.soak.judge
        while True:
            while not self.reads_log:
                gevent.sleep(0.1)
            line = process.stderr.readline()
            if not line:
                return
            self.log.append(line)
            text = line.decode(errors="replace").strip()
            if "answer_in_time" in text and self.was_paused_since(self.soak.now() - PAUSE_SHOWS):
                continue  # one that is stopped answers nobody
            if "invariant violated" in text:
                judge.break_(Rule.INVARIANT, self.soak.now(), name, text)
            elif "level=ERROR" in text and "configuration refused" not in text:
                judge.break_(Rule.FAULT, self.soak.now(), name, text)

    def end_in_order(self):
        """As at a planned restart: SIGTERM, and SIGKILL after 3.7 s, when it has to be gone."""
        process, name = self.process, self.name
        process.send_signal(signal.SIGTERM)
        gevent.sleep(0.3)
        self.port = 0
        status = self.wait(process, ENDS - 0.3)
        if status is None:
            self.soak.judge.break_(Rule.CRASH, self.soak.now(), name, "still there 3.7 s after SIGTERM")
            self.killed_at.append(self.soak.now())
            process.kill()
        elif status:
            self.soak.judge.break_(Rule.CRASH, self.soak.now(), name, f"ended with status {status}")

    def wait(self, process, seconds: float):
        with gevent.Timeout(seconds, False):
            return process.wait()
        return None

    def kill(self):
        self.killed_at.append(self.soak.now() + 0.5)  # what was sent while it died is its client's
        self.port = 0
        self.process.kill()
        self.process.wait()

    def pause(self, seconds: float):
        process = self.process
        self.paused_until = self.soak.now() + seconds + 0.5
        process.send_signal(signal.SIGSTOP)
        gevent.sleep(seconds)
        process.send_signal(signal.SIGCONT)

    def reload(self, relay):
        self.write_configuration(relay.address)
        self.process.send_signal(signal.SIGHUP)

    def has_died(self) -> bool:
        return self.process is not None and self.port and self.process.poll() is not None

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
