"""Scenarios of the load experiment: hosts, demand, organisations, a wave."""

import pathlib

import msgspec
import yaml


class Turns(msgspec.Struct, frozen=True):
    """Demand that is ``high`` for one queue at a time, else ``low``.

    Both are jobs per second; the queue changes every ``period_s`` seconds.
    """

    period_s: float
    high: float
    low: float


class Flood(msgspec.Struct, frozen=True):
    """One organisation that submits ``factor`` times its usual.

    It begins ``at_s`` seconds after the start of the demand.
    """

    organisation: str
    factor: float
    at_s: float
    for_s: float


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hosts, demand and a wave; ``cores`` is the size of one host.

    ``greys`` is the number of hosts on which every task fails.
    ``organisations`` are their weights, in proportion to which they submit
    jobs; ``limit_cores`` bounds what each of them has running, and 0 sets no
    limit. A refused job is submitted again ``retries`` times, after the delay
    that was given.
    """

    pools: dict[str, int]
    standby: int
    cores: int
    turns: Turns
    tasks: tuple[int, int]
    task_cores: tuple[float, float]
    run_s: float
    objective_ms: int
    lasting_tasks: int
    length_s: float
    wave_hosts: int = 0
    wave_at_once: int = 1
    greys: int = 0
    organisations: dict[str, float] = {}
    limit_cores: int = 0
    retries: int = 0
    flood: Flood | None = None


def read_scenario(path: str) -> Scenario:
    """Load a scenario; raise msgspec.ValidationError if invalid."""
    text = pathlib.Path(path).read_text(encoding='utf-8')
    return msgspec.convert(yaml.safe_load(text), Scenario)
