/**
 * Loopback proxies between one VM and the targets, through which a test cuts this VM off while the targets go on.
 */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { splitAddress } from '@wigeonlead/relay'
import { LoopbackUse, loopbackHost } from './loopback.js'

/** What a cut does to connections. */
export enum CutForm {
  /** Open connections are reset, and new ones are refused. */
  Reset = 'reset',
  /** Open connections live on, and new ones are refused. */
  RefuseNew = 'refuse new',
  /** Nothing passes on open connections, and new ones never get an answer. */
  Silent = 'silent'
}

interface Gate {
  target: string
  server: Server
  port: number
  sockets: Set<Socket>
}

/** The gates of one VM. */
export interface TargetGates {
  /** @returns the address at which this VM reaches a target. */
  through: (address: string) => string
  open: (targets: readonly string[]) => Promise<void>
  cut: (form: CutForm) => Promise<void>
  heal: () => Promise<void>
  close: () => void
}

/** Creates the gates of one VM; they are open. */
export function createTargetGates (): TargetGates {
  const gates = new Map<string, Gate>()
  let isSilent = false

  function serve (gate: Gate): Promise<void> {
    return new Promise(resolve => {
      gate.server = createServer(socket => { accept(gate, socket) })
      gate.server.listen(gate.port, loopbackHost(LoopbackUse.Gates), () => {
        gate.port = (gate.server.address() as AddressInfo).port
        resolve()
      })
    })
  }

  function accept (gate: Gate, socket: Socket): void {
    const [host, port] = splitAddress(gate.target)
    const onward = connect({ host, port })
    for (const [from, to] of [[socket, onward], [onward, socket]] as const) {
      gate.sockets.add(from)
      // Bytes that arrive during a silent cut are lost, so such a connection never carries anything again.
      from.on('data', chunk => { if (!isSilent) to.write(chunk) })
      from.on('end', () => { if (!isSilent) to.end() })
      from.on('error', () => { if (!isSilent) to.resetAndDestroy() })
      from.on('close', () => {
        gate.sockets.delete(from)
        if (!isSilent) to.destroy()
      })
    }
  }

  return {
    through: address => `${loopbackHost(LoopbackUse.Gates)}:${gates.get(address)!.port}`,
    async open (targets) {
      for (const target of targets) {
        if (gates.has(target)) continue
        const gate: Gate = { target, server: createServer(), port: 0, sockets: new Set() }
        gates.set(target, gate)
        await serve(gate)
      }
    },
    async cut (form) {
      if (form === CutForm.Silent) {
        isSilent = true
        return
      }
      for (const { server, sockets } of gates.values()) {
        server.close()
        if (form === CutForm.Reset) for (const socket of sockets) socket.resetAndDestroy()
      }
    },
    async heal () {
      for (const gate of gates.values()) {
        if (isSilent) for (const socket of gate.sockets) socket.resetAndDestroy()
        if (!gate.server.listening) await serve(gate)
      }
      isSilent = false
    },
    close () {
      for (const { server, sockets } of gates.values()) {
        server.close()
        for (const socket of sockets) socket.destroy()
      }
    }
  }
}
