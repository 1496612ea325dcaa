"""Where the agent asks its fleet: turns a lookup into the fleet's question, and its word into an event.

Owns the fleet's host and the lookups that wait for a word. It must never decide what the fleet is to say:
where no word comes at all it answers by the fleet's own rule for doubt. Without a fleet nobody imports it.
"""

import hashlib
import logging
from math import inf
from time import monotonic

import gevent

from cartdeal.fleet import papers as paper
from cartdeal.fleet import verdict
from cartdeal.fleet.errors import WrongPapers
from cartdeal.fleet.host import Bounds, Host
from cartdeal.fleet.node import Node
from cartdeal.fleet.verdict import Question, Verdict
from cartdeal.grant import REPEATS, seconds
from cartdeal.terms import Group, Repeat

LETTERS = {Repeat.IDEMPOTENT: "i", Repeat.DEDUPLICATED: "d", Repeat.UNREPEATABLE: "u"}
STATUSES = {"limited": 429, "turn_back": 503, "terminate": 502}
LATE = 0.3          # beyond the fleet's own bound, when a lookup without a word is in doubt
LOOK = 0.1          # seconds between looks for such
LAST_WORDS = 0.15   # how long the last ones may take to be written
STREAMS = 8         # one in so many descriptors is for streams to peers, and as many for those from them
MEMORY = 0.1        # share of the memory for what waits for peers, and as much for what came of them by half

log = logging.getLogger("cartdeal.fleet")


class Gate:
    def __init__(self, station, papers, after):
        """`after(event, *args)` brings an event to the reducer. Raises connection.Unbound."""
        self.station, self.after, self.listen = station, after, papers.listen
        streams, share = station.limits.descriptors // STREAMS, MEMORY * station.limits.memory
        self.descriptors, self.memory = 2 * streams + 2, 2 * share
        self.host = Host(papers.pact, papers.listen, Node, self.decided,
                         Bounds(streams, int(share * 1e6), int(share * 1e6)))
        self.open: dict[int, tuple[float, Question]] = {}   # until when a word has to come, in that order
        grant = station.grant
        self.kinds = [(LETTERS[REPEATS.get(kind.repeat, Repeat.UNREPEATABLE)], kind.group or Group.CELL.value,
                       seconds(kind.window), kind.name) for kind in grant.workloads]
        longest = papers.pact.longest_mark_s
        self.longest = tuple({"i": inf, "d": longest - window, "u": longest}[repeat]
                             for repeat, _, window, _ in self.kinds)
        self.verbs = {"admit": self.admit, "went": self.went, "settled": self.settled}

    def start(self):
        self.host.start()
        log.info("in a fleet", extra={"fleet": self.host.pact.fleet, "agent": self.host.pact.name,
                                      "port": self.host.port})
        return [gevent.spawn(self.host.endure, self.watch)]

    # Effects

    def admit(self, number: int, query, limit_at: float):
        now = monotonic()
        question = self.question(query, limit_at - now)
        self.open[number] = now + self.host.pact.wait_s + LATE, question
        self.host.feed("ask", number, question)

    def went(self, number: int, zone: str, cell: int):
        self.host.feed("went", number, zone, cell)

    def settled(self, number: int, ran: str):
        self.open.pop(number, None)
        self.host.feed("ended", number, ran)

    def question(self, query, left: float) -> Question:
        repeat, group, window, workload = self.kinds[query.workload]
        if query.strict:
            repeat, window = "u", 0.0
        key = query.mark.decode() if query.mark and repeat == "d" else digest(query) if repeat != "i" else ""
        return Question(
            # By name: who names none, or one that is not known, must not use up the first one's limit.
            tenant=query.whose.decode("latin-1"),
            session=f"{query.key:016x}" if query.key else "",
            key=key, repeat=repeat, group=group, window_s=window, limit_s=max(0.0, left), workload=workload,
            retried=query.repeat)

    # The fleet's word

    def decided(self, ticket: int, word: str, wait: float, heed):
        if self.open.pop(ticket, None) is None:
            return      # answered, or its client has gone, while the fleet thought about it
        if word == Verdict.PASS.value:
            node = self.host.node
            shift = node.now - node.wall    # from the fleet's time to the agent's own
            self.after("admitted", ticket, tuple(
                (zone, cell, group, until_ms / 1e3 + shift) for zone, cell, group, until_ms in heed))
        else:
            self.after("declined", ticket, STATUSES[word], wait)

    def watch(self):
        """The fleet answers in time, if need be in doubt; should a fault have kept it from it, this does."""
        while True:
            gevent.sleep(LOOK)
            now, pact = monotonic(), self.host.pact
            for number, question in [(each, asked) for each, (by, asked) in self.open.items() if by < now]:
                log.warning("no word of the fleet", extra={"workload": question.workload})
                word = verdict.in_doubt(question, pact.on_doubt, pact.clients_mark) if question.marked \
                    else Verdict.TURN_BACK
                self.decided(number, word.value, 0.0, ())

    # The agent's life

    def reread(self):
        """Takes over what the fleet's file changes; one that can't be used changes nothing."""
        try:
            found = paper.read(self.station)
        except WrongPapers as trouble:
            return log.error("fleet file refused", extra={"words": str(trouble)})
        host, new = self.host, found.pact
        kept, restart = paper.taken_over(host.pact, new)
        restart = [key for key in restart if key != "address" or found.listen[1]]
        restart += ["listen"] * (found.listen != self.listen)
        host.pact = kept
        host.feed("reread", kept)
        log.info("fleet file read", extra={"needs_restart": " ".join(restart)})

    def leave(self):
        self.host.feed("leaving")

    def part(self, until: float):
        """Waits until what this agent holds is with others, but not beyond `until`; says its last words."""
        while not self.host.node.gone and monotonic() < until:
            gevent.sleep(LOOK / 5)
        self.host.feed("parting")
        self.host.flush(monotonic() + LAST_WORDS)
        log.info("out of the fleet", extra={"handed_over": self.host.node.gone, "unsent": self.host.waiting})

    def stop(self):
        self.host.stop()


def digest(query) -> str:
    """What an unrepeatable lookup is known by: its id differs with every try."""
    words = hashlib.blake2b(digest_size=16)
    for part in (query.method, query.path, query.body):
        words.update(len(part).to_bytes(4, "big") + part)
    return words.hexdigest()
