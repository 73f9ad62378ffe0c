"""Groups of the platform's store: who holds which partitions."""


class Group:
    """Members share the partitions of their topics evenly.

    A member keeps a partition that moves to another until it has joined
    with the generation that takes it away, has left, or has been silent
    for its time.
    """

    def __init__(self):
        self.generation = 0
        self._members = {}
        self._heard = {}
        self._ttls = {}
        self._holders = {}
        self._since = {}
        self._wanted = {}
        self.offsets = {}

    def join(self, member, topics, ttl_s, generation, now):
        """Join or stay; returns the rows of the member."""
        self.expire(now)
        self._heard[member] = now
        self._ttls[member] = ttl_s
        if self._members.get(member) != topics:
            self._members[member] = topics
            self._change()
        elif generation >= self.generation:
            self._give_up(member)
        self._take()
        return [
            [topic, part, self.offsets.get((topic, part), 0)]
            for (topic, part), holder in sorted(self._holders.items())
            if holder == member and self._wanted[topic, part] == member
        ]

    def leave(self, member):
        if self._members.pop(member, None) is not None:
            self._holders = {
                k: h for k, h in self._holders.items() if h != member
            }
            self._change()
            self._take()

    def expire(self, now):
        for member in list(self._members):
            if now - self._heard[member] > self._ttls[member]:
                self.leave(member)

    def commit(self, member, generation, key, offset):
        """Commit an offset; False if the member may not."""
        if self._holders.get(key) != member:
            return False
        if generation < self._since[key]:
            return False
        self.offsets[key] = offset
        return True

    def rows(self):
        """Return topic, partition, member and offset."""
        return [
            [*key, holder, self.offsets.get(key, 0)]
            for key, holder in sorted(self._holders.items())
        ]

    def _change(self):
        self.generation += 1
        keys = sorted({(t, 0) for ts in self._members.values() for t in ts})
        self._wanted = {}
        for number, key in enumerate(keys):
            able = [
                m for m, ts in sorted(self._members.items()) if key[0] in ts
            ]
            self._wanted[key] = able[number % len(able)]

    def _give_up(self, member):
        for key, holder in list(self._holders.items()):
            if holder == member and self._wanted.get(key) != member:
                del self._holders[key]

    def _take(self):
        for key, member in self._wanted.items():
            if key not in self._holders:
                self._holders[key] = member
                self._since[key] = self.generation
