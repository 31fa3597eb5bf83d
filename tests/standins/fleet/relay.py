"""A loopback relay between agents and an entry, and a store that advertises its address."""
import select
import socket
import struct
import threading

from peers import ENTRY_NET, RELAY_NET, Store


class RelayStore(Store):
    """Replaces the addresses of the entries by those of the relays."""

    def put(self, table, key, value):
        super().put(table, key.replace(ENTRY_NET, RELAY_NET), value)


class Relay:
    """Forwards frames between agents and one entry; `reset` resets their connections."""

    def __init__(self, address, entry):
        self.entry, self.generation = entry, 0
        self.listener = socket.create_server(address, backlog=64)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                agent = self.listener.accept()[0]
            except OSError:
                return
            threading.Thread(target=self.forward, args=(agent, self.generation),
                             daemon=True).start()

    def reset(self):
        self.generation += 1

    def stop(self):
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.reset()

    def forward(self, agent, generation):
        ends, incomplete = [agent], b""
        try:
            entry = socket.create_connection(self.entry, timeout=1)
            ends.append(entry)
            for end in ends:
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while generation == self.generation:
                for source in select.select(ends, [], [], 0.01)[0]:
                    data = source.recv(65536)
                    if not data:
                        return
                    if source is agent:
                        entry.sendall(data)
                        continue
                    # Entries advertise their own addresses to agents, which would bypass the relay.
                    complete, incomplete = self.split(incomplete + data)
                    agent.sendall(complete.replace(ENTRY_NET.encode(), RELAY_NET.encode()))
        except OSError:
            pass  # one side closed its connection; the other one is closed below
        finally:
            for end in ends:
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                end.close()

    @staticmethod
    def split(data):
        """The complete frames, each with its length prefix, and the remaining bytes."""
        end = 0
        while len(data) >= end + 4:
            following = end + 4 + int.from_bytes(data[end:end + 4], "big")
            if following > len(data):
                break
            end = following
        return data[:end], data[end:]
