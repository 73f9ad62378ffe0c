"""Settings and faults of the engine stand-in."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class EngineSettings:
    """What an engine can do; see docs/engine_standin.md for the defaults.

    :param prefill_tokens_per_s: prompt tokens processed a second
    :param decode_tokens_per_s: tokens a second that one stream generates
    :param stream_step_s: time that each decoding stream adds to a step
    :param step_tokens: prompt tokens that one step takes at most
    :param max_running: streams in the batch at one time
    :param memory_tokens: KV memory, in tokens
    :param block_tokens: tokens in one block of KV memory
    :param transfer_tokens_per_s: rate of a KV import
    :param load_lag_s: age of the load report
    :param event_lag_s: delay before a cache event is shown
    :param event_loss: share of the cache events that is never shown
    :param models: resident models with versions; None serves any model
    :param adapters: resident adapters with versions
    :param role: role at the start
    :param checks_fencing: refuse orders with an old fencing number
    :param frees_expired: free what is past its deadline
    :param weight_store_url: where weights come from; empty for nowhere
    :param model_load_s: time to load a model that has been fetched
    :param adapter_load_s: time to load an adapter that has been fetched
    :param crash_on: text in a prompt that ends the process
    :param time_factor: how many times faster than real time it runs
    :param seed: seed of the lost cache events
    """

    prefill_tokens_per_s: float = 20000.0
    decode_tokens_per_s: float = 30.0
    stream_step_s: float = 0.00002
    step_tokens: int = 704
    max_running: int = 256
    memory_tokens: int = 500_000
    block_tokens: int = 256
    transfer_tokens_per_s: float = 100_000.0
    load_lag_s: float = 0.2
    event_lag_s: float = 0.5
    event_loss: float = 0.01
    models: dict[str, str] | None = None
    adapters: dict[str, str] = dataclasses.field(default_factory=dict)
    role: str = "any"
    checks_fencing: bool = False
    frees_expired: bool = True
    weight_store_url: str = ""
    model_load_s: float = 20.0
    adapter_load_s: float = 1.0
    crash_on: str = ""
    time_factor: float = 1.0
    seed: int = 1

    def step_s(self, prefill_tokens: int, decoding: int) -> float:
        """Return the duration of one step.

        A step is bound by reading the weights or by computing the prompt
        tokens, whichever takes longer.
        """
        compute_s = prefill_tokens / self.prefill_tokens_per_s
        read_s = 1 / self.decode_tokens_per_s
        return max(read_s, compute_s) + decoding * self.stream_step_s

    def idle_ttft_s(self, prompt_tokens: int) -> float:
        """Return the time to first token on an idle engine."""
        full, rest = divmod(prompt_tokens, self.step_tokens)
        last_s = self.step_s(rest, 0) if rest else 0.0
        return full * self.step_s(self.step_tokens, 0) + last_s


@dataclasses.dataclass(frozen=True)
class EngineFaults:
    """Faults that the engine produces.

    :param crash_on: text in a prompt that ends the process
    :param cut_after_tokens: break a stream's connection once after this many
        tokens
    :param duplicate_lines: send each token line twice
    :param late_lines: send lines of an older attempt between the others
    :param reorder_lines: swap neighbouring token lines
    :param lose_cancel_answers: this many cancellations take effect and are
        not responded to
    :param refuse_orders: respond to every order with 503
    :param slow_factor: how many times slower each step is
    :param freeze_load: go on sending the load report of this moment
    :param max_requests_per_s: rate that the load report names; 0 for none
    """

    crash_on: str = ""
    cut_after_tokens: int = 0
    duplicate_lines: bool = False
    late_lines: bool = False
    reorder_lines: bool = False
    lose_cancel_answers: int = 0
    refuse_orders: bool = False
    slow_factor: float = 1.0
    freeze_load: bool = False
    max_requests_per_s: float = 0.0
