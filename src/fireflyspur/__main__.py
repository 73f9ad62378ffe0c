"""Entry point of ``python -m fireflyspur``."""

import sys

from fireflyspur.console import application

if __name__ == "__main__":
    sys.exit(application.main())
