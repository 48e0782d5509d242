"""Quota usage of teams."""

from collections.abc import Iterable

from orioleshore.fleet import workers
from orioleshore.model import documents
from orioleshore.model import ids
from orioleshore.quotas import shares


class QuotaLedger:
    """Reserved sizes by team, and the quotas of the document."""

    def __init__(self) -> None:
        self._quotas: dict[ids.TeamId, workers.Size] = {}
        self._totals: shares.UsageTotals[ids.TeamId, workers.Size] = (
            shares.UsageTotals(workers.Size())
        )

    def set_quotas(self, teams: Iterable[documents.Team]) -> None:
        """Replace all quotas."""
        self._quotas = {
            team.name: workers.Size(team.cores, team.memory_gb)
            for team in teams
        }

    def charge(self, team: ids.TeamId, size: workers.Size) -> None:
        """Add a reserved size to the usage of a team."""
        self._totals.charge(team, size)

    def refund(self, team: ids.TeamId, size: workers.Size) -> None:
        """Subtract a reserved size from the usage of a team."""
        self._totals.refund(team, size)

    def get_used(self, team: ids.TeamId) -> workers.Size:
        """Return the sum of the reserved sizes of a team."""
        return self._totals.get_used(team)

    def get_total_used(self) -> workers.Size:
        """Return the sum of the reserved sizes of all teams."""
        return self._totals.get_total()

    def get_quota(self, team: ids.TeamId) -> workers.Size:
        """Return the quota of a team, empty when it has none."""
        return self._quotas.get(team, workers.Size())

    def is_exceeded_by(self, team: ids.TeamId, size: workers.Size) -> bool:
        """Return whether one more task would exceed the quota."""
        return not self.get_excess(team, size).fits(workers.Size())

    def get_excess(self, team: ids.TeamId, size: workers.Size) -> workers.Size:
        """Return by how much one more task would exceed the quota."""
        quota = self.get_quota(team)
        requested = self.get_used(team).plus(size)
        return workers.Size(
            requested.cores - quota.cores,
            requested.memory_gb - quota.memory_gb,
        )

    def get_share(self, team: ids.TeamId) -> float:
        """Return the dominant share of a team: its usage over its quota."""
        quota = self.get_quota(team)
        if quota.cores <= 0 or quota.memory_gb <= 0:
            return 1.0
        return shares.get_dominant_share(self.get_used(team), quota)
