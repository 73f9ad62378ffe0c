"""Fleet whose nodes order engines to load weights and switch roles."""

import testtools

from fireflyspur.clients import log_client
from fireflyspur.membership import rendezvous
from fireflyspur.orders import order_log
from tests.support import nodes
from tests.support import polling
from tests.support import records
from tools import fleet as fleets

# A load takes a second; each test sets the duration of fetches.
ENGINE = ("--time-factor", "20")
OTHER_MODEL = ("--model", "former=1")


class OrdersTestCase(testtools.TestCase):
    """Starts a log, a VM list, a weight store, engines and nodes."""

    def setUp(self):
        super().setUp()
        self.fleet = self.enterContext(fleets.Fleet())
        self.fleet.start_standin("log", "log")
        self.fleet.start_standin("vm-list", "vm-list")
        self.nodes, self.engines = [], []

    def start_store(self, fetch_s=0.5, max_fetches=20):
        """Start a store that accepts more fetches than the fleet may make."""
        options = ("--fetch-s", str(fetch_s), "--max-fetches", max_fetches)
        self.fleet.start_standin("store", "weight-store", *map(str, options))

    def start_engine(self, name, *options, port=0):
        url = ("--weight-store-url", self.fleet.url("store"))
        self.fleet.start_standin(
            name, "engine", *ENGINE, *url, "--port", str(port), *options
        )
        if name not in self.engines:
            self.engines.append(name)

    def start_nodes(self, count, **points):
        """Start nodes.

        :param points: pause points by engine, with ``_`` for ``-`` in its
            name; they are active on the node that owns the engine
        """
        self.nodes = [f"node-{number}" for number in range(count)]
        active = {self.owner(e.replace("_", "-")): points[e] for e in points}
        for name in self.nodes:
            self.fleet.start_node(
                name,
                "sapporo-a",
                log={"poll_wait_s": 0.5},
                vm_list={"poll_interval_s": 0.2},
                membership={"period_s": 0.2},
                testing={"pause_at": active.get(name, [])},
            )
            port = self.fleet.process(name).ports["peer"]
            nodes.list_vm(self.fleet, name, "node", port, "sapporo-a")
        nodes.wait_converged(self.fleet, self.nodes, 0)

    def publish_engines(self, version="1", loads=2, **spec):
        records.publish(
            self.fleet,
            {**records.model(), "spec": {"version": version}},
            records.account(),
            records.make("fleet", "default", concurrent_weight_loads=loads),
            *(records.engine(self.fleet, e, **spec) for e in self.engines),
        )

    def publish_version(self, version):
        value = {**records.model(), "spec": {"version": version}}
        records.publish(self.fleet, value)

    def owner(self, engine, names=None):
        return rendezvous.owner(f"orders/{engine}", names or self.nodes)

    def state(self, engine):
        return fleets.call(self.fleet.url(engine) + "/engine/v1/state")

    def store_stats(self):
        return fleets.call(self.fleet.url("store") + "/stats")

    def set_faults(self, name, **values):
        fleets.call(self.fleet.url(name) + "/faults", "POST", values)

    def wait(self, condition, description):
        return polling.wait_until(condition, description)

    def is_loaded(self, engine, version):
        state = self.state(engine)
        return state["models"] == {"quill": version} and not state["loading"]

    def wait_loaded(self, version):
        for engine in self.engines:
            self.wait(
                lambda engine=engine: self.is_loaded(engine, version),
                f"{engine} has version {version}",
            )

    def wait_loading(self):
        """Return the first engine that fetches from the store."""
        self.wait(lambda: self.store_stats()["running"], "a fetch runs")
        return next(e for e in self.engines if self.state(e)["loading"])

    def order_records(self):
        """Return all records of the ``orders`` stream."""
        url = self.fleet.url("log") + "/streams/orders/records?from=1"
        return fleets.call(url)["records"]

    def engines_with_intents(self):
        """Return the engines that have active intents."""
        state = order_log.OrderLog()
        for record in self.order_records():
            state.apply(log_client.LogRecord(**record))
        return [e for e in self.engines if state.intents(e)]

    def wait_slots_free(self):
        self.wait(
            lambda: not self.engines_with_intents(), "all slots are free"
        )

    def refusal_reasons(self, node):
        url = self.fleet.url(node, "admin") + "/admin/audit"
        return [
            event["reason"]
            for event in fleets.call(url)["events"]
            if event["action"] == "order_refused"
        ]
