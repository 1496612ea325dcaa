"""Turns the settings an instance is born with into a charter. Unknown keys are skipped."""

import json

from cartdeal.benchlink.wire import GROUPS, REPEATS, Malformed
from cartdeal.terms import Charter, Group, Repeat, Tenant, Workload


def seconds(holder: dict, name: str, default: float = 0.0) -> float:
    return float(holder.get(name) or default * 1e6) / 1e6


def workload(item: dict) -> Workload:
    return Workload(
        REPEATS.get(item.get("idempotency"), Repeat.UNREPEATABLE),
        # Where no group is named, none is known to drop repeats beyond the narrowest one.
        GROUPS.get(item.get("group"), Group.CELL),
        seconds(item, "repeatWindowUs"),
        seconds(item, "goalTimeUs") or seconds(item, "timeLimitUs", 1.0),
        float(item.get("importance", 1.0)),
    )


def charter(seed: int, text: bytes) -> Charter:
    try:
        info = json.loads(text)
        caps, rules, fees = (info.get(part, {}) for part in ("caps", "rules", "fees"))
        must_ask = info.get("discovery") == "on_request"
        return Charter(
            seed=seed,
            number=info.get("myNumber", 0),
            agents=info.get("groupSize", 1),
            zones=len(info.get("areas", ())) or 1,
            own_zone=info.get("az", 0),
            workloads=tuple(workload(item) for item in info.get("workloads", ())),
            tenants=tuple(Tenant(float(item.get("quotaPerS") or 0)) for item in info.get("tenants", ())),
            beyond_share=float(info.get("overageImportance", 1.0)),
            paid_by_work=info.get("importanceBasis") == "work",
            crossing_fee=float(fees.get("crossZone", 0.0)),
            most_shots=int(caps.get("maxShots", 1)),
            may_cancel=bool(caps.get("cancel", False)),
            may_probe=bool(caps.get("probes", False)),
            advises_wait=seconds(caps, "maxRetryAfterUs") if caps.get("retryAfter") else 0.0,
            must_ask=must_ask,
            ask_every=seconds(rules, "askEveryUs", 10.0),
            cold_from=float(rules.get("coldFrom", 0.1)),
            cold_for=seconds(rules, "coldUs"),
            cold_span=seconds(rules, "fallUs", 1.0),
        )
    except (ValueError, TypeError, AttributeError) as trouble:
        raise Malformed(f"the settings of a launch can't be read: {trouble}") from None


def columns(text: bytes) -> dict[str, int]:
    return {name: place for place, name in enumerate(json.loads(text).get("feedback", {}).get("columns", ()))}
