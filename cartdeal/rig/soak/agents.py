"""Agents of a soak: real processes that are shut down, killed, paused, reloaded and restarted."""

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

AGENT_START_TIMEOUT_S = 20.0  # until it serves
SHUTDOWN_TIMEOUT_S = 3.0 + 0.7  # after SIGTERM; an agent that still runs then is killed
PAUSE_EFFECT_S = 3.0  # after a pause; answers may still be late because of it
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
    """One agent, whose process may be restarted. `port` is 0 while the agent accepts no connections."""

    def __init__(self, soak, number: int, system_faults: str | None):
        """`system_faults`: the value of AGENT_FAULTS, or None for an agent whose system calls don't fail."""
        self.soak, self.number, self.system_faults = soak, number, system_faults
        self.process, self.port, self.start_count = None, 0, 0
        self.kill_times, self.paused_until = [], 0.0
        self.log_lines, self.is_log_read = [], True
        self.configuration_path = soak.folder / f"agent-{number}.json"

    def was_killed_since(self, at: float) -> bool:
        """Whether the agent was killed at this time of the soak or later."""
        return any(killed_at >= at for killed_at in self.kill_times)

    def was_paused_since(self, at: float) -> bool:
        """Whether the agent was paused at this time of the soak or later."""
        return self.paused_until >= at

    def write_configuration(self, discovery: str):
        """Writes the agent's configuration file, with this address of the discovery service."""
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
        """Starts the process and waits until it serves; it is a violation if it does not in time."""
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
                Rule.CRASH, self.soak.now(), self.name, "it did not start to serve"
            )
        self.port = int(match[1])
        gevent.spawn(self.drain_log, process)
        return None

    @property
    def name(self) -> str:
        """The agent and the number of its start, for reports."""
        return f"agent {self.number}, start {self.start_count}"

    def drain_log(self, process):
        """Reads the process's log and reports the violations and errors that it contains."""
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
                continue  # an agent can't answer in time while it is stopped
            if "invariant violated" in text:
                rule_checker.add_violation(Rule.INVARIANT, self.soak.now(), name, text)
            elif "level=ERROR" in text and "configuration refused" not in text:
                rule_checker.add_violation(Rule.LOGGED_FAULT, self.soak.now(), name, text)

    def shut_down(self):
        """Ends the agent as a planned restart does: SIGTERM, and SIGKILL if it still runs after 3.7 s."""
        process, name = self.process, self.name
        process.send_signal(signal.SIGTERM)
        gevent.sleep(0.3)
        self.port = 0
        status = self.wait_for_exit(process, SHUTDOWN_TIMEOUT_S - 0.3)
        if status is None:
            self.soak.rule_checker.add_violation(
                Rule.CRASH, self.soak.now(), name, "still running 3.7 s after SIGTERM"
            )
            self.kill_times.append(self.soak.now())
            process.kill()
        elif status:
            self.soak.rule_checker.add_violation(
                Rule.CRASH, self.soak.now(), name, f"ended with status {status}"
            )

    def wait_for_exit(self, process, duration: float):
        """The exit status of the process, or None if it still runs after `duration` seconds."""
        with gevent.Timeout(duration, False):
            return process.wait()
        return None

    def kill(self):
        """Kills the process and waits for its end."""
        self.kill_times.append(self.soak.now() + 0.5)  # a request sent while it ends may get no answer
        self.port = 0
        self.process.kill()
        self.process.wait()

    def pause(self, duration: float):
        """Stops the process for `duration` seconds."""
        process = self.process
        self.paused_until = self.soak.now() + duration + 0.5
        process.send_signal(signal.SIGSTOP)
        gevent.sleep(duration)
        process.send_signal(signal.SIGCONT)

    def reload(self, relay):
        """Has the agent read a configuration with the relay as the address of the discovery service."""
        self.write_configuration(relay.address)
        self.process.send_signal(signal.SIGHUP)

    def has_exited(self) -> bool:
        """Whether the process ended though nobody ended it."""
        return self.process is not None and self.port and self.process.poll() is not None

    def stop(self):
        """Kills the process at the end of the soak, even if it is paused."""
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
