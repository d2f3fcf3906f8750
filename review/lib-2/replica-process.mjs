/**
 * A replica in a process of its own, which signals can stop and let go on. Its entry and its runs go to the process that started it.
 */
import { openReplica } from './replica.mjs'

const { service, zone, number, backlog, eventMs, endless } = JSON.parse(process.argv[2])
const TICK_MS = 10
/** One byte of an event that never ends, in a chunk of its own; many times. */
const PIECES = Buffer.from('1\r\nx\r\n'.repeat(10_000))
const BUFFERED_BYTES = 1_048_576
const flooded = new Set()
let begun = 0

/** Answers a share of the streams with an event without end, while the caller reads. */
function flood ({ requestId, path }, _response, socket, answerHead) {
  if (endless === undefined || !path.startsWith('/write/')) return false
  begun += 1
  if (Math.floor(begun * endless.share) === Math.floor((begun - 1) * endless.share)) return false
  const head = Object.entries(answerHead(requestId, 'text/event-stream')).map(([name, value]) => `${name}: ${value}\r\n`).join('')
  socket.write(`HTTP/1.1 200 OK\r\n${head}Transfer-Encoding: chunked\r\n\r\n`)
  flooded.add(socket)
  socket.on('error', () => {})
  socket.on('close', () => flooded.delete(socket))
  process.send({ flooding: requestId })
  return true
}

let isFlooding = endless !== undefined
setInterval(() => {
  let budget = (endless?.bytesPerS ?? 0) * TICK_MS / 1000
  for (const socket of flooded) {
    while (budget > 0 && socket.writableLength < BUFFERED_BYTES) {
      socket.write(PIECES)
      budget -= PIECES.length
    }
  }
}, TICK_MS).unref()
process.on('message', message => { isFlooding = message.isFlooding })
const replica = await openReplica({
  service,
  zone,
  number,
  backlog,
  eventMs,
  run: (...terms) => isFlooding && flood(...terms),
  store: { write: (key, value) => process.send({ entry: { key, value } }) },
  record: {
    run ({ requestId, id, method, path }) {
      process.send({ run: { requestId, id, method, path } })
    }
  }
})
process.send({ opened: { id: replica.id, address: replica.address } })
process.on('disconnect', () => process.exit(0))
