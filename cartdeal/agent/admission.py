"""Where the agent asks its fleet: turns a request into the fleet's question, and its word into an event.

Owns the fleet's host and the requests that wait for a word. It must never decide what the fleet is to say:
where no word comes at all it answers by the fleet's own rule for doubt. Without a fleet nobody imports it.
"""

import hashlib
import logging
from math import inf
from time import monotonic

import gevent

from cartdeal.fleet import configuration as fleet_configuration
from cartdeal.fleet import idempotency
from cartdeal.fleet.effects import DeliverDecision
from cartdeal.fleet.errors import InvalidConfigurationError
from cartdeal.fleet.idempotency import AdmissionDecision, AdmissionRequest, RanOutcome
from cartdeal.fleet.node import Node
from cartdeal.fleet.transport import PeerTransport, TransportLimits
from cartdeal.settings import REPEATS, seconds
from cartdeal.supervision import supervise
from cartdeal.terms import Group, Repeat

LETTERS = {Repeat.IDEMPOTENT: "i", Repeat.DEDUPLICATED: "d", Repeat.NON_IDEMPOTENT: "u"}
STATUSES = {
    AdmissionDecision.RATE_LIMITED: 429,
    AdmissionDecision.REJECT: 503,
    AdmissionDecision.FAIL: 502,
}
LATE = 0.3  # beyond the fleet's own bound, when a request without a word is in doubt
LOOK = 0.1  # seconds between looks for such
LAST_WORDS = 0.15  # how long the last ones may take to be written
STREAMS = 8  # one in so many descriptors is for streams to peers, and as many for those from them
MEMORY = 0.1  # share of the memory for what waits for peers, and as much for what came of them by half

log = logging.getLogger("cartdeal.fleet")


class AdmissionControl:
    def __init__(self, config, fleet, after):
        """`after(event, *args)` brings an event to the reducer. Raises BindError."""
        self.config, self.after, self.listen = config, after, fleet.listen
        streams, share = config.limits.descriptors // STREAMS, MEMORY * config.limits.memory
        self.descriptors, self.memory = 2 * streams + 2, 2 * share
        self.host = PeerTransport(
            fleet.settings,
            fleet.listen,
            Node,
            self.decided,
            TransportLimits(streams, int(share * 1e6), int(share * 1e6)),
        )
        self.open: dict[
            int, tuple[float, AdmissionRequest]
        ] = {}  # until when a word has to come, in that order
        settings = config.settings
        self.kinds = [
            (
                LETTERS[REPEATS.get(kind.repeat, Repeat.NON_IDEMPOTENT)],
                kind.group or Group.CELL.value,
                seconds(kind.window),
                kind.name,
            )
            for kind in settings.request_classes
        ]
        longest = fleet.settings.longest_mark_s
        self.longest = tuple(
            {"i": inf, "d": longest - window, "u": longest}[repeat] for repeat, _, window, _ in self.kinds
        )
        self.verbs = {"admit": self.admit, "went": self.went, "settled": self.settled}

    def start(self):
        self.host.start()
        log.info(
            "in a fleet",
            extra={
                "fleet": self.host.settings.fleet,
                "agent": self.host.settings.name,
                "port": self.host.port,
            },
        )
        return [gevent.spawn(supervise, self.watch, log)]

    # Effects

    def admit(self, number: int, request, deadline: float):
        now = monotonic()
        question = self.question(request, deadline - now)
        self.open[number] = now + self.host.settings.wait_s + LATE, question
        self.host.dispatch("request_admission", number, question)

    def went(self, number: int, zone: str, cell: int):
        self.host.dispatch("on_attempt_sent", number, zone, cell)

    def settled(self, number: int, ran: str):
        self.open.pop(number, None)
        self.host.dispatch("on_request_ended", number, RanOutcome(ran))

    def question(self, request, left: float) -> AdmissionRequest:
        repeat, group, window, request_class = self.kinds[request.request_class]
        if request.non_idempotent:
            repeat, window = "u", 0.0
        if request.idempotency_key and repeat == "d":
            key = request.idempotency_key.decode()
        else:
            key = "" if repeat == "i" else digest(request)
        return AdmissionRequest(
            # By name: who names none, or one that is not known, must not use up the first one's limit.
            tenant=request.tenant_name.decode("latin-1"),
            session=f"{request.key:016x}" if request.key else "",
            key=key,
            repeat=repeat,
            group=group,
            window_s=window,
            limit_s=max(0.0, left),
            workload=request_class,
            retried=request.repeat,
        )

    # The fleet's word

    def decided(self, effect: DeliverDecision):
        ticket = effect.ticket
        if self.open.pop(ticket, None) is None:
            return  # answered, or its client has gone, while the fleet thought about it
        if effect.decision is AdmissionDecision.ADMIT:
            node = self.host.node
            shift = node.now - node.wall  # from the fleet's time to the agent's own
            self.after(
                "admitted",
                ticket,
                tuple(
                    (zone, cell, group, until_ms / 1e3 + shift)
                    for zone, cell, group, until_ms in effect.earlier_attempts
                ),
            )
        else:
            self.after("declined", ticket, STATUSES[effect.decision], effect.retry_after_s)

    def watch(self):
        """The fleet answers in time, if need be in doubt; should a fault have kept it from it, this does."""
        while True:
            gevent.sleep(LOOK)
            now, fleet_settings = monotonic(), self.host.settings
            for number, question in [(each, asked) for each, (by, asked) in self.open.items() if by < now]:
                log.warning("no word of the fleet", extra={"request_class": question.workload})
                word = (
                    idempotency.decide_unknown(question, fleet_settings.on_doubt, fleet_settings.clients_mark)
                    if question.leaves_record
                    else AdmissionDecision.REJECT
                )
                self.decided(DeliverDecision(number, word))

    # The agent's incarnation

    def reread(self):
        """Takes over what the fleet's file changes; one that can't be used changes nothing."""
        try:
            found = fleet_configuration.read(self.config)
        except InvalidConfigurationError as trouble:
            return log.error("fleet file refused", extra={"reason": str(trouble)})
        host, new = self.host, found.settings
        kept, restart = fleet_configuration.merge_reloadable(host.settings, new)
        restart = [key for key in restart if key != "address" or found.listen[1]]
        restart += ["listen"] * (found.listen != self.listen)
        host.settings = kept
        host.dispatch("apply_settings", kept)
        log.info("fleet file read", extra={"needs_restart": " ".join(restart)})

    def leave(self):
        self.host.dispatch("begin_shutdown")

    def part(self, until: float):
        """Waits until what this agent holds is with others, but not beyond `until`; says its last words."""
        while not self.host.node.is_handed_over and monotonic() < until:
            gevent.sleep(LOOK / 5)
        self.host.dispatch("finish_shutdown")
        self.host.flush(monotonic() + LAST_WORDS)
        log.info(
            "out of the fleet",
            extra={"handed_over": self.host.node.is_handed_over, "unsent": self.host.queued_bytes},
        )

    def stop(self):
        self.host.stop()


def digest(request) -> str:
    """What a non-idempotent request is known by: its id differs with every try."""
    words = hashlib.blake2b(digest_size=16)
    for part in (request.method, request.path, request.body):
        words.update(len(part).to_bytes(4, "big") + part)
    return words.hexdigest()
