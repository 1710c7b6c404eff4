"""Entry point of the gateway daemon: listens, and then loads the libraries."""

from ..platform.listening import open_listener, settings_path

__all__ = ["main"]


def main() -> None:
    """Run the gateway with the settings that the platform names."""
    listener = open_listener(settings_path())
    # Loading it takes some 0.3 s, in which callers wait in the listener's queue.
    from .gateway_daemon import run_daemon

    run_daemon(listener)


if __name__ == "__main__":
    main()
