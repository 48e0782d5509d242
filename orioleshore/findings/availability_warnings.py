"""Availability budgets that never allow a host to go down.

Uses the check that decides on grants, for a fleet whose hosts all serve.
"""

from collections.abc import Iterator

from orioleshore.model import documents
from orioleshore.model import findings
from orioleshore.model import ids
from orioleshore.state import budgets
from orioleshore.state import host_safety
from orioleshore.state import records


def find_warnings(
    document: documents.Document,
) -> Iterator[findings.Finding]:
    """Yield the warnings about budgets and waves of a document."""
    blocked = _find_blocked_hosts(document)
    yield from _find_budget_warnings(document, blocked)
    yield from _find_wave_warnings(document, blocked)


def _find_blocked_hosts(
    document: documents.Document,
) -> dict[ids.HostId, budgets.Loss]:
    """Return the hosts that may not go down even if all others serve."""
    state = records.State(document=document)
    state.hosts = host_safety.build_host_records(state, document)
    index = budgets.CapacityIndex(state)
    losses = {
        host.name: index.find_exceeded_with_loss_of(host.name)
        for host in document.hosts
    }
    return {host: loss for host, loss in losses.items() if loss is not None}


def _find_budget_warnings(
    document: documents.Document, blocked: dict[ids.HostId, budgets.Loss]
) -> Iterator[findings.Finding]:
    positions = {
        service.name: position
        for position, service in enumerate(document.services)
    }
    reported = set()
    for host, loss in blocked.items():
        kind = loss.scope.partition('/')[0]
        if (loss.service, kind) in reported:
            continue
        reported.add((loss.service, kind))
        yield findings.Finding(
            findings.Kind.BUDGET_ALLOWS_NO_HOST,
            f'$.services[{positions[loss.service]}].budget.{kind}',
            f'host {host!r} may never go down: its {loss.down:g} cores exceed '
            f'the {loss.allowed:g} that the budget allows for {loss.scope}',
            'raise the budget, or add hosts',
        )


def _find_wave_warnings(
    document: documents.Document, blocked: dict[ids.HostId, budgets.Loss]
) -> Iterator[findings.Finding]:
    for position, wave in enumerate(document.waves):
        place = f'$.waves[{position}]'
        hosts = [host for host in document.hosts if host.pool in wave.pools]
        if not hosts:
            yield findings.Finding(
                findings.Kind.WAVE_WITHOUT_HOSTS,
                f'{place}.pools',
                f'wave {wave.name!r} covers no host',
                'name pools that have hosts',
            )
        stuck = [host.name for host in hosts if host.name in blocked]
        if stuck:
            yield findings.Finding(
                findings.Kind.WAVE_NEVER_ENDS,
                place,
                f'wave {wave.name!r} never ends: budgets keep '
                f'{len(stuck)} of its {len(hosts)} hosts from going down, '
                f'such as {stuck[0]!r}',
                f'raise the budget of service '
                f'{blocked[stuck[0]].service!r} first',
            )
