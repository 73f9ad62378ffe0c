"""Compares the idle engine stand-in with the formula of its settings."""

import argparse
import json
import time
import urllib.request

from fireflyspur.standins.engine import settings as engine_settings
from tools import fleet as fleets

_MEMORY_TOKENS = 1_100_000
_BYTES_PER_TOKEN = 4


def main() -> None:
    """Print measured and expected time to first token by prompt length."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--tokens", type=int, nargs="+", default=[1000, 32_000, 1_000_000]
    )
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--time-factor", type=float, default=1.0)
    arguments = parser.parse_args()
    settings = engine_settings.EngineSettings()
    with fleets.Fleet() as fleet:
        fleet.start_standin(
            "engine",
            "engine",
            *("--memory-tokens", str(_MEMORY_TOKENS)),
            *("--time-factor", str(arguments.time_factor)),
        )
        for tokens in arguments.tokens:
            found = [
                _ttft_s(fleet.url("engine"), tokens, number)
                * arguments.time_factor
                for number in range(arguments.repeats)
            ]
            expected = settings.idle_ttft_s(tokens)
            values = ", ".join(f"{value:.3f}" for value in found)
            print(
                f"{tokens} tokens: {values} s, formula {expected:.3f} s,"
                f" least ratio {min(found) / expected:.3f},"
                f" greatest {max(found) / expected:.3f}",
                flush=True,
            )


def _ttft_s(url: str, tokens: int, number: int) -> float:
    """Send one prompt that shares no block and wait for its first token."""
    head = f"{tokens} {number} "
    body = {
        "request_id": f"r-{tokens}-{number}",
        "attempt": 1,
        "owner": "measure:1",
        "deadline": time.time() + 3600,
        "model": "quill",
        "adapter": "",
        "prompt": (head + "word" * tokens)[: tokens * _BYTES_PER_TOKEN],
        "max_tokens": 2,
        "start_index": 0,
        "priority": 5,
    }
    request = urllib.request.Request(
        url + "/engine/v1/streams", data=json.dumps(body).encode()
    )
    started = time.perf_counter()
    with urllib.request.urlopen(request) as response:
        response.readline()
        elapsed_s = time.perf_counter() - started
        # The next prompt must find the engine idle again.
        response.read()
        return elapsed_s


if __name__ == "__main__":
    main()
