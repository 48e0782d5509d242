"""Usage of resources by owner, compared with limits and with all capacity.

Shared by the quotas of teams and the limits of organisations, whose amounts
of resources are of different types.
"""

from collections.abc import Hashable
from typing import Generic
from typing import Protocol
from typing import Self
from typing import TypeVar

import msgspec

# Stands in for a weight of 0, so that an owner without weight still gets a
# first task when all is full, instead of waiting for ever.
MIN_WEIGHT = 1e-6


class Amount(Protocol):
    """Figures of several kinds of resources; a msgspec struct of numbers."""

    def plus(self, other: Self) -> Self:
        """Return the sum of two amounts."""

    def minus(self, other: Self) -> Self:
        """Return the difference of two amounts, which may be negative."""


OwnerT = TypeVar('OwnerT', bound=Hashable)
AmountT = TypeVar('AmountT', bound=Amount)


class UsageTotals(Generic[OwnerT, AmountT]):
    """What each owner uses at present."""

    def __init__(self, nothing: AmountT) -> None:
        self._nothing = nothing
        self._used: dict[OwnerT, AmountT] = {}

    def get_used(self, owner: OwnerT) -> AmountT:
        """Return what an owner uses."""
        return self._used.get(owner, self._nothing)

    def charge(self, owner: OwnerT, amount: AmountT) -> None:
        """Add an amount to the usage of an owner."""
        self._used[owner] = self.get_used(owner).plus(amount)

    def refund(self, owner: OwnerT, amount: AmountT) -> None:
        """Subtract an amount from the usage of an owner."""
        left = self.get_used(owner).minus(amount)
        if left == self._nothing:
            self._used.pop(owner, None)
        else:
            self._used[owner] = left

    def get_total(self) -> AmountT:
        """Return what all owners use together."""
        total = self._nothing
        for amount in self._used.values():
            total = total.plus(amount)
        return total


def fits_limit(used: Amount, need: Amount, limit: Amount) -> bool:
    """Return whether a need fits beside the usage.

    Kinds of resources that are not needed, or whose limit is 0, do not count:
    usage above a lowered limit of one kind holds back only needs of this kind.
    """
    return all(
        not bound or not needed or present + needed <= bound
        for present, needed, bound in zip(
            msgspec.structs.astuple(used),
            msgspec.structs.astuple(need),
            msgspec.structs.astuple(limit),
            strict=True,
        )
    )


def get_dominant_share(used: Amount, bound: Amount) -> float:
    """Return the largest fraction used of any kind of resource.

    Kinds whose bound is not positive are left out.
    """
    return max(
        (
            present / whole
            for present, whole in zip(
                msgspec.structs.astuple(used),
                msgspec.structs.astuple(bound),
                strict=True,
            )
            if whole > 0
        ),
        default=0.0,
    )


def get_weighted_share(used: Amount, total: Amount, weight: float) -> float:
    """Return the dominant share of all capacity per unit of weight.

    The owner with the lowest value is the next one to serve when all is full.
    """
    return get_dominant_share(used, total) / max(weight, MIN_WEIGHT)
