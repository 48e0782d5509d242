"""Usage, room and shares of organisations."""

import pytest

from orioleshore.jobs import organisations
from orioleshore.jobs import specs
from orioleshore.model import ids
from orioleshore.quotas import shares

NORTH = ids.OrganisationId('north')
SOUTH = ids.OrganisationId('south')
TOTAL = specs.Resources(100_000, 400_000, 0)


def _build_usage(**used: specs.Resources) -> organisations.Usage:
    usage = organisations.Usage()
    for number, (name, need) in enumerate(used.items()):
        usage.charge(
            ids.WorkerId(f'w-{number}'), ids.OrganisationId(name), need
        )
    return usage


def test_heavier_organisation_is_served_first():
    # Guards against shares that ignore the weight.
    usage = _build_usage(
        north=specs.Resources(20_000), south=specs.Resources(10_000)
    )
    north = usage.get_weighted_share(NORTH, 4.0, TOTAL)
    south = usage.get_weighted_share(SOUTH, 1.0, TOTAL)
    assert north == pytest.approx(0.05)
    assert south == pytest.approx(0.1)


def test_share_counts_the_scarcest_resource():
    # Guards against an organisation that takes all memory with little CPU.
    usage = _build_usage(north=specs.Resources(1_000, 200_000, 3))
    assert usage.get_weighted_share(NORTH, 1.0, TOTAL) == pytest.approx(0.5)


@pytest.mark.parametrize('total', [TOTAL, specs.Resources()])
def test_weight_and_capacity_of_zero_divide_nothing_by_zero(total):
    # Guards against ZeroDivisionError, and against a first task that an
    # organisation of weight 0 never gets.
    usage = _build_usage(north=specs.Resources(1))
    assert usage.get_weighted_share(SOUTH, 0.0, total) == 0.0
    assert usage.get_weighted_share(NORTH, 0.0, total) >= 0.0


def test_room_is_never_negative_and_knows_unlimited_kinds():
    # Guards against negative room after a limit is lowered.
    usage = _build_usage(north=specs.Resources(9_000, 500))
    room = usage.get_room(NORTH, specs.Resources(8_000, 800))
    assert room == specs.Resources(0, 300, organisations.UNLIMITED)


def test_usage_above_a_lowered_limit_holds_back_only_its_kind():
    # Guards against tasks without accelerators that wait for accelerators.
    used = specs.Resources(1_000, 100, 4)
    limit = specs.Resources(8_000, 800, 2)
    assert shares.fits_limit(used, specs.Resources(1_000, 100), limit)
    assert not shares.fits_limit(used, specs.Resources(1_000, 0, 1), limit)


def test_report_of_a_worker_replaces_what_it_was_charged():
    # Guards against usage that grows with each report.
    usage = _build_usage(north=specs.Resources(1_000))
    usage.set_worker(ids.WorkerId('w-0'), {SOUTH: specs.Resources(500)})
    assert usage.get_used(NORTH) == specs.Resources()
    assert usage.get_used(SOUTH) == specs.Resources(500)
    usage.drop_worker(ids.WorkerId('w-0'))
    assert usage.get_used(SOUTH) == specs.Resources()
