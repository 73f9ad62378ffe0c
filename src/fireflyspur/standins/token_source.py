"""The answers of the engine stand-in."""

import hashlib


def token_text(model: str, adapter: str, prompt: str, index: int) -> str:
    """Return one token of the answer to a prompt.

    The answer depends on nothing else, so that a test can tell whether a
    caller got the whole answer to its own prompt.

    :param index: index of the token, from 0
    """
    source = f"{model}\0{adapter}\0{index}\0{prompt}"
    return hashlib.blake2b(source.encode(), digest_size=3).hexdigest() + " "
