/**
 * Splits messages that do not fit into one datagram, and joins their parts. A message of which a part is lost is dropped; its sender or
 * its receiver asks again.
 */

/** One part of a message. */
export interface MessagePart {
  /** Number of the message, unique for its sender within the life of an assembly. */
  message: number
  index: number
  /** Number of parts of the message. */
  count: number
  /** Base64. */
  data: string
}

/** Joins the parts of messages as they arrive, in any order. */
export interface MessageAssembly {
  /**
   * @param sender address of the sender.
   * @returns the message, if this was the last part that it lacked.
   * @throws a `RangeError` where a part does not belong to a message that could have been sent.
   */
  add: (sender: string, part: MessagePart) => Buffer | undefined
}

/** Bytes of a message in one part: in base64 and with its envelope, the part fits into a datagram. */
const PART_BYTES = 40_000
/** Size limit of a message, bytes: the text of the largest configuration that the platform's store accepts. */
export const MESSAGE_BYTES_LIMIT = 1_048_576
const MAXIMUM_PARTS = Math.ceil(MESSAGE_BYTES_LIMIT / PART_BYTES)
/** Time after which an incomplete message is dropped, milliseconds. Whoever waits for it has given up earlier. */
const ASSEMBLY_MILLISECONDS = 2000
/** Number of incomplete messages that are kept. */
const MAXIMUM_ASSEMBLIES = 16

/** @returns the parts of a message of at most `MESSAGE_BYTES_LIMIT` bytes. */
export function splitMessage (bytes: Buffer, message: number): MessagePart[] {
  const count = Math.ceil(bytes.length / PART_BYTES)
  return Array.from({ length: count }, (_, index) => ({
    message, index, count, data: bytes.subarray(index * PART_BYTES, (index + 1) * PART_BYTES).toString('base64')
  }))
}

/** Creates an assembly without parts. */
export function createMessageAssembly (): MessageAssembly {
  const incomplete = new Map<string, { parts: Array<Buffer | undefined>, missing: number, startedAt: number }>()

  function dropOld (): void {
    for (const [key, { startedAt }] of incomplete) {
      if (performance.now() - startedAt > ASSEMBLY_MILLISECONDS || incomplete.size > MAXIMUM_ASSEMBLIES) incomplete.delete(key)
    }
  }

  return {
    add (sender, { message, index, count, data }) {
      if (count < 1 || count > MAXIMUM_PARTS || index < 0 || index >= count) throw new RangeError(`part ${index} of ${count}`)
      const key = `${sender} ${message} ${count}`
      let assembly = incomplete.get(key)
      if (assembly === undefined) {
        assembly = { parts: Array.from({ length: count }), missing: count, startedAt: performance.now() }
        incomplete.set(key, assembly)
        dropOld()
      }
      if (assembly.parts[index] === undefined) assembly.missing -= 1
      assembly.parts[index] = Buffer.from(data, 'base64')
      if (assembly.missing > 0) return undefined
      incomplete.delete(key)
      return Buffer.concat(assembly.parts as Buffer[])
    }
  }
}
