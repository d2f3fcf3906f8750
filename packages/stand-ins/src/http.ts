/**
 * What the stand-ins' HTTP servers share: listening on loopback, reading a JSON body, answering JSON.
 */
import { createServer, type IncomingMessage, type RequestListener, type ServerResponse } from 'node:http'
import { createServer as createTcpServer, type AddressInfo, type Socket } from 'node:net'

const LOOPBACK = '127.0.0.1'

/** A server that listens. */
export interface RunningServer {
  /** `127.0.0.1:port`. */
  address: string
  /** Stops listening and closes every connection. */
  close: () => Promise<void>
}

/** Listens on loopback; port 0 takes any free one. */
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

/** Ports below those that Linux gives to sockets that ask for any: a listener on port 0 or a connection can't take one in the meantime. */
const FIRST_PORT = 10_000
const PORT_COUNT = 20_000
/** Processes begin so many ports apart: more than any one of them asks for, so that two that run at once rarely try the same. */
const PORTS_OF_PROCESS = 397

let portsTried = 0

/** @returns an address on loopback, `127.0.0.1:port`, at which nothing listens yet; another one at each call. */
export async function freeAddress (): Promise<string> {
  for (;;) {
    const port = FIRST_PORT + (process.pid * PORTS_OF_PROCESS + portsTried++) % PORT_COUNT
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

/** Reads a whole body as JSON; an empty one is an empty object. */
export async function readJson (request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = []
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk)
  const text = Buffer.concat(chunks).toString()
  return text === '' ? {} : JSON.parse(text)
}

/** Answers JSON. */
export function answerJson (response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}

function closeServer (server: ReturnType<typeof createServer>, sockets: Set<Socket>): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve())
    for (const socket of sockets) socket.destroy()
  })
}
