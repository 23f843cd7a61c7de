/**
 * State that the steps of one scenario share.
 */

import { setWorldConstructor, type IWorldOptions } from '@cucumber/cucumber'
import { CellHarness } from './cell-harness.js'

export class CellWorld extends CellHarness {
  readonly log: IWorldOptions['log']

  constructor ({ log }: IWorldOptions) {
    super()
    this.log = log
  }
}

setWorldConstructor(CellWorld)
