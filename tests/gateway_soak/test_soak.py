"""A short soak of fixed seeds; ``tools/soak.py --gateway`` runs more."""

import asyncio

import testtools

from tests.gateway_soak import soak

_SEEDS = (1, 2, 3)
_SECONDS = 10.0


class GatewaySoakTest(testtools.TestCase):
    """Guards against promises that only a mix of faults breaks."""


def _add_test(seed: int) -> None:
    def test(self):
        run = soak.GatewaySoak(seed)
        violations = asyncio.run(run.run(_SECONDS))
        events = "\n".join(run.events)
        self.assertEqual([], violations, events)
        self.assertGreater(len(run.record.results), 300)

    test.__doc__ = f"Seed {seed}."
    setattr(GatewaySoakTest, f"test_seed_{seed}", test)


for _seed in _SEEDS:
    _add_test(_seed)
