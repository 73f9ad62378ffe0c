"""Replacement of the nodes of a soak by another build, one by one."""

import asyncio

_MAX_PAUSE_S = 0.5


class BuildReplacement:
    """Stops one node after the other and starts it from another build.

    Faults strike meanwhile, but not the node that is being replaced.

    :param soak: the fleet
    :param generator: draws the order of the nodes
    """

    def __init__(self, soak, generator):
        self._soak = soak
        self._random = generator

    async def run(self, sources):
        """Replace all nodes once for each build.

        :param sources: folders of the builds; None is the current one
        """
        for source in sources:
            names = sorted(self._soak.nodes)
            self._random.shuffle(names)
            for name in names:
                await self._replace(name, source)
                await asyncio.sleep(self._random.uniform(0, _MAX_PAUSE_S))

    async def _replace(self, name, source):
        while name in self._soak.struck:
            await asyncio.sleep(0.05)
        self._soak.struck.add(name)
        self._soak.log(f"{name}: {'older' if source else 'current'} build")
        self._soak.nodes[name].source = source
        await self._soak.restart_node(name)
        self._soak.struck.discard(name)
