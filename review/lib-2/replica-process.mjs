/**
 * A replica in a process of its own, which signals can stop and let go on. Its entry and its runs go to the process that started it.
 */
import { openReplica } from './replica.mjs'

const { service, zone, number, backlog, eventMs } = JSON.parse(process.argv[2])
const replica = await openReplica({
  service,
  zone,
  number,
  backlog,
  eventMs,
  store: { write: (key, value) => process.send({ entry: { key, value } }) },
  record: {
    run ({ requestId, id, method, path }) {
      process.send({ run: { requestId, id, method, path } })
    }
  }
})
process.send({ opened: { id: replica.id, address: replica.address } })
process.on('disconnect', () => process.exit(0))
