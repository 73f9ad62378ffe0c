"""A short soak in which nodes of two builds run side by side."""

import asyncio
import tempfile

import testtools

from tests.gateway_soak import soak
from tests.support import older_builds

# The latest build before the evacuation of failure domains.
_OLDER_COMMIT = "1f29f1e"
_SEED = 1
_SECONDS = 8.0


class MixedBuildsSoakTest(testtools.TestCase):
    """Guards against an upgrade or a rollback that breaks promises.

    Nodes of both builds exchange updates, hand requests over to one another
    and follow the same store while they are replaced one by one.
    """

    def test_replacement_and_rollback(self):
        with tempfile.TemporaryDirectory() as folder:
            source = older_builds.extract(_OLDER_COMMIT, folder)
            run = soak.GatewaySoak(_SEED, older_source=source)
            violations = asyncio.run(run.run(_SECONDS))
        events = "\n".join(run.events)
        self.assertEqual([], violations, events)
        self.assertGreater(len(run.record.results), 300)
