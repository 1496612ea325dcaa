"""Agents of a soak: real processes, told to end, killed, paused, reloaded and started anew."""

import json
import os
import re
import signal
import sys

import gevent
from gevent import subprocess

from cartdeal.rig.faulty_agent import FAULTS_VARIABLE
from cartdeal.rig.soak.relay import LOOPBACK_HOST
from cartdeal.rig.soak.rule_checker import Rule

AGENT_START_TIMEOUT_S = 20.0  # seconds that a start may take
SHUTDOWN_TIMEOUT_S = 3.0 + 0.7  # seconds after SIGTERM in which an agent has to be gone: it is killed then
PAUSE_EFFECT_S = 3.0  # seconds after a pause in which what it made late may be answered
SERVING_PORT_PATTERN = re.compile(rb"msg=serving .*\bport=(\d+)")
AGENT_SETTINGS = {
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

    def __init__(self, soak, number: int, system_faults: str | None):
        """`faults`: what AGENT_FAULTS is to say, for one whose system calls fail; None for none."""
        self.soak, self.number, self.system_faults = soak, number, system_faults
        self.process, self.port, self.start_count = None, 0, 0
        self.kill_times, self.paused_until = [], 0.0
        self.log_lines, self.is_log_read = [], True
        self.configuration_path = soak.folder / f"agent-{number}.json"

    def was_killed_since(self, at: float) -> bool:
        return any(killed_at >= at for killed_at in self.kill_times)

    def was_paused_since(self, at: float) -> bool:
        return self.paused_until >= at

    def write_configuration(self, discovery: str):
        settings = AGENT_SETTINGS | {
            "az": self.number % 2,
            "myNumber": self.number,
            "groupSize": self.soak.size,
        }
        known_list = {"rev": 1, "all": True, "targets": list(self.soak.discovery.entries.values())}
        configuration = {
            "name": f"n{self.number}",
            "listen": f"{LOOPBACK_HOST}:0",
            "discovery": discovery,
            "seed": f"{self.soak.seed * 1000 + self.number * 10 + self.start_count:x}",
            "limits": {"memory_mb": 64, "sockets": 256},
            "known": known_list,
            "settings": settings,
        }
        draft = self.configuration_path.with_suffix(".draft")
        draft.write_text(json.dumps(configuration))
        draft.replace(self.configuration_path)

    def start(self):
        self.start_count += 1
        self.write_configuration(self.soak.discovery_relays[0].address)
        module = "cartdeal.rig.faulty_agent" if self.system_faults else "cartdeal"
        environment = {
            **os.environ,
            "PROXY_CONFIG": str(self.configuration_path),
            FAULTS_VARIABLE: self.system_faults or "",
        }
        self.process = subprocess.Popen(
            [sys.executable, "-m", module], stderr=subprocess.PIPE, env=environment, start_new_session=True
        )
        process, match = self.process, None
        with gevent.Timeout(AGENT_START_TIMEOUT_S, False):
            while not (match := SERVING_PORT_PATTERN.search(line := process.stderr.readline())):
                self.log_lines.append(line)
                if not line:
                    break
        if not match:
            return self.soak.rule_checker.add_violation(
                Rule.CRASH, self.soak.now(), self.name, "it did not come up"
            )
        self.port = int(match[1])
        gevent.spawn(self.drain_log, process)
        return None

    @property
    def name(self) -> str:
        return f"agent {self.number}, start {self.start_count}"

    def drain_log(self, process):
        name, rule_checker = self.name, self.soak.rule_checker
        while True:
            while not self.is_log_read:
                gevent.sleep(0.1)
            line = process.stderr.readline()
            if not line:
                return
            self.log_lines.append(line)
            text = line.decode(errors="replace").strip()
            if "answer_in_time" in text and self.was_paused_since(self.soak.now() - PAUSE_EFFECT_S):
                continue  # one that is stopped answers nobody
            if "invariant violated" in text:
                rule_checker.add_violation(Rule.INVARIANT, self.soak.now(), name, text)
            elif "level=ERROR" in text and "configuration refused" not in text:
                rule_checker.add_violation(Rule.LOGGED_FAULT, self.soak.now(), name, text)

    def shut_down(self):
        """As at a planned restart: SIGTERM, and SIGKILL after 3.7 s, when it has to be gone."""
        process, name = self.process, self.name
        process.send_signal(signal.SIGTERM)
        gevent.sleep(0.3)
        self.port = 0
        status = self.wait_for_exit(process, SHUTDOWN_TIMEOUT_S - 0.3)
        if status is None:
            self.soak.rule_checker.add_violation(
                Rule.CRASH, self.soak.now(), name, "still there 3.7 s after SIGTERM"
            )
            self.kill_times.append(self.soak.now())
            process.kill()
        elif status:
            self.soak.rule_checker.add_violation(
                Rule.CRASH, self.soak.now(), name, f"ended with status {status}"
            )

    def wait_for_exit(self, process, duration: float):
        with gevent.Timeout(duration, False):
            return process.wait()
        return None

    def kill(self):
        self.kill_times.append(self.soak.now() + 0.5)  # what was sent while it died is its client's
        self.port = 0
        self.process.kill()
        self.process.wait()

    def pause(self, duration: float):
        process = self.process
        self.paused_until = self.soak.now() + duration + 0.5
        process.send_signal(signal.SIGSTOP)
        gevent.sleep(duration)
        process.send_signal(signal.SIGCONT)

    def reload(self, relay):
        self.write_configuration(relay.address)
        self.process.send_signal(signal.SIGHUP)

    def has_exited(self) -> bool:
        return self.process is not None and self.port and self.process.poll() is not None

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
