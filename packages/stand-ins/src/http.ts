/**
 * Helpers for the HTTP servers of the stand-ins: listening on loopback, reading a JSON body, answering with JSON.
 */
import { createServer, type IncomingMessage, type RequestListener, type ServerResponse } from 'node:http'
import { createServer as createTcpServer, type AddressInfo, type Socket } from 'node:net'

const LOOPBACK = '127.0.0.1'

/** A listening server. */
export interface RunningServer {
  /** `127.0.0.1:port`. */
  address: string
  /** Stops listening and closes every connection. */
  close: () => Promise<void>
}

/** Starts a server on loopback; with port 0 the kernel chooses a free port. */
export function listen (listener: RequestListener, port = 0): Promise<RunningServer> {
  const sockets = new Set<Socket>()
  const server = createServer({ keepAliveTimeout: 60_000 }, listener)
  server.on('connection', socket => {
    sockets.add(socket)
    socket.setNoDelay(true)
    socket.once('close', () => sockets.delete(socket))
  })
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, LOOPBACK, () => {
      const address = `${LOOPBACK}:${(server.address() as AddressInfo).port}`
      resolve({ address, close: () => closeServer(server, sockets) })
    })
  })
}

/**
 * Ports that `freeAddress` tries. They are below Linux's range of ephemeral ports, so that a listener on port 0 or an outgoing connection
 * can't take one in the meantime.
 */
const FIRST_PORT = 10_000
const PORT_COUNT = 20_000
/**
 * Distance between the first ports that processes with successive ids try. It is larger than the number of ports that
 * any process asks for, so that concurrent processes rarely try the same port.
 */
const PORTS_BETWEEN_PROCESSES = 397

let portsTried = 0

/** Returns an address on loopback, `127.0.0.1:port`, at which nothing listens yet; a different one for each call. */
export async function freeAddress (): Promise<string> {
  for (;;) {
    const port = FIRST_PORT + (process.pid * PORTS_BETWEEN_PROCESSES + portsTried++) % PORT_COUNT
    if (await isFree(port)) return `${LOOPBACK}:${port}`
    if (portsTried > PORT_COUNT) throw new Error('no free port on loopback')
  }
}

function isFree (port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createTcpServer()
    server.once('error', () => resolve(false))
    server.listen(port, LOOPBACK, () => server.close(() => resolve(true)))
  })
}

/** Reads the whole body as JSON; an empty body gives an empty object. */
export async function readJson (request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = []
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk)
  const text = Buffer.concat(chunks).toString()
  return text === '' ? {} : JSON.parse(text)
}

/** Answers with a status and a JSON body. */
export function answerJson (response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}

function closeServer (server: ReturnType<typeof createServer>, sockets: Set<Socket>): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve())
    for (const socket of sockets) socket.destroy()
  })
}
