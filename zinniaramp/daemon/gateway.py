"""Entry point of the gateway: opens the callers' listener, then imports the rest."""

from ..platform.listening import open_listener, settings_path

__all__ = ["main"]


def main() -> None:
    """Run the gateway with the host settings that the platform provides."""
    listener = open_listener(settings_path())
    # This import takes about 0.3 s; callers wait in the listener's accept queue.
    from .gateway_daemon import run_daemon

    run_daemon(listener)


if __name__ == "__main__":
    main()
