/**
 * What the stand-ins' HTTP servers share: listening on loopback, reading a JSON body, answering JSON.
 */
import { createServer, type IncomingMessage, type RequestListener, type ServerResponse } from 'node:http'
import { createServer as createTcpServer, type AddressInfo, type Socket } from 'node:net'

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
    server.listen(port, '127.0.0.1', () => {
      const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
      resolve({ address, close: () => closeServer(server, sockets) })
    })
  })
}

/** @returns an address on loopback, `127.0.0.1:port`, at which nothing listens yet. */
export function freeAddress (): Promise<string> {
  return new Promise(resolve => {
    const server = createTcpServer()
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo
      server.close(() => resolve(`127.0.0.1:${port}`))
    })
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
