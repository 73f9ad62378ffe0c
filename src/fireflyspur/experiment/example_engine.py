"""Figures of an engine for experiments and measurements."""

from fireflyspur.gateway import routing_config

# An engine like those for which the platform's pages publish figures.
SPEC = routing_config.EngineSpec(
    slots=8,
    kv_tokens=450_000,
    step_ms=0.9,
    per_sequence_ms=0.01,
    context_ms_per_1k=0.0025,
    read_tokens_per_s=256_000.0,
    pairs_ms_per_m=0.09,
    chunk_tokens=2_048,
    stride_steps=46,
)
