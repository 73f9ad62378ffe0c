"""The responses of the engine stand-in."""

import hashlib


def token_text(model: str, adapter: str, prompt: str, index: int) -> str:
    """Return one token of the response to a prompt.

    The response depends on nothing else, so that a test can tell whether a
    caller got the whole response to its own prompt.

    :param index: index of the token, from 0
    """
    source = f"{model}\0{adapter}\0{index}\0{prompt}"
    return hashlib.blake2b(source.encode(), digest_size=3).hexdigest() + " "


def token_texts(
    model: str, adapter: str, prompt: str, indexes: range
) -> list[str]:
    """Return several tokens of the response to a prompt.

    Encodes a long prompt only once; hashing it lets other threads run.
    """
    encoded = prompt.encode()
    texts = []
    for index in indexes:
        digest = hashlib.blake2b(digest_size=3)
        digest.update(f"{model}\0{adapter}\0{index}\0".encode())
        digest.update(encoded)
        texts.append(digest.hexdigest() + " ")
    return texts
