"""Example engine for experiments, measurements and tests."""

from fireflyspur.gateway.common import address as addresses
from fireflyspur.gateway.configuration import routing_config
from fireflyspur.gateway.endpoints import endpoint as endpoints

SERVICE = "models"
FAILURE_DOMAIN = "zone-a"
_FIRST_PORT = 8_000

# An engine like those for which the platform's documentation has figures.
SPEC = routing_config.EngineSpec(
    slots=8,
    kv_tokens=450_000,
    step_ms=0.9,
    per_sequence_ms=0.01,
    context_ms_per_1k=0.0025,
    prefill_tokens_per_s=256_000.0,
    pairs_ms_per_m=0.09,
    chunk_tokens=2_048,
    stride_steps=46,
)


def endpoint(number: int) -> endpoints.Endpoint:
    """Return an endpoint of the service, at which no server listens."""
    return endpoints.Endpoint(
        instance=f"engine-{number}",
        service=SERVICE,
        address=addresses.Address("10.0.0.1", _FIRST_PORT + number),
        failure_domain=FAILURE_DOMAIN,
        state=endpoints.EndpointState.READY,
        slots=SPEC.slots,
        sequence=1,
        born_ms=1,
    )
