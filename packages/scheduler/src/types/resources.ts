/**
 * Amounts of the three resources that VMs provide and tasks require.
 */

export interface Resources {
  /** Thousandths of one core. */
  millicores: number
  /** Mebibytes. */
  memoryMib: number
  /** Whole accelerators. */
  accelerators: number
}

export const NO_RESOURCES: Readonly<Resources> = Object.freeze({
  millicores: 0,
  memoryMib: 0,
  accelerators: 0
})
